#pragma once

#include "control/service_news.hpp"
#include "news/news_table.hpp"

namespace tamarindshift {

// Plans lie in news tables entry by entry, so that a new plan tells only what differs.
void layPlan(NewsTable& table, const FleetPlanNews& plan);
void layPlan(NewsTable& table, const ServiceNews& plan);
FleetPlanNews fleetPlanIn(const NewsTable& table);
// nothing where the table has no plan of the service
std::optional<ServiceNews> servicePlanIn(const NewsTable& table);
PlanMark planMarkIn(const NewsTable& table);
bool isPlanKey(const std::string& key);

}  // namespace tamarindshift
