#pragma once

#include "control/published_entries.hpp"
#include "updates/topic_table.hpp"

namespace tamarindshift {

// Plans lie in news tables entry by entry, so that a new plan tells only what differs.
void writePlanEntries(TopicTable& table, const PublishedFleetPlan& plan);
void writePlanEntries(TopicTable& table, const PublishedServicePlan& plan);
PublishedFleetPlan readFleetPlan(const TopicTable& table);
// nothing where the table has no plan of the service
std::optional<PublishedServicePlan> readServicePlan(const TopicTable& table);
PlanVersion readPlanVersion(const TopicTable& table);
bool isPlanKey(const std::string& key);

}  // namespace tamarindshift
