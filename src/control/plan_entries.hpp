#pragma once

#include "control/published_entries.hpp"
#include "news/news_table.hpp"

namespace tamarindshift {

// Plans lie in news tables entry by entry, so that a new plan tells only what differs.
void writePlanEntries(NewsTable& table, const PublishedFleetPlan& plan);
void writePlanEntries(NewsTable& table, const PublishedServicePlan& plan);
PublishedFleetPlan readFleetPlan(const NewsTable& table);
// nothing where the table has no plan of the service
std::optional<PublishedServicePlan> readServicePlan(const NewsTable& table);
PlanVersion readPlanVersion(const NewsTable& table);
bool isPlanKey(const std::string& key);

}  // namespace tamarindshift
