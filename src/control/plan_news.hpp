#pragma once

#include "control/service_news.hpp"
#include "updates/topic_table.hpp"

namespace tamarindshift {

// Plans lie in news tables entry by entry, so that a new plan tells only what differs.
void layPlan(TopicTable& table, const FleetPlanNews& plan);
void layPlan(TopicTable& table, const ServiceNews& plan);
FleetPlanNews fleetPlanIn(const TopicTable& table);
// nothing where the table has no plan of the service
std::optional<ServiceNews> servicePlanIn(const TopicTable& table);
PlanMark planMarkIn(const TopicTable& table);
bool isPlanKey(const std::string& key);

}  // namespace tamarindshift
