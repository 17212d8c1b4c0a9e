#pragma once

// Conversion between plans and entries of the topic tables that subscribers receive.

#include "control/published_entries.hpp"
#include "updates/topic_table.hpp"

namespace tamarindshift {

// A plan is stored as one entry for each part, so that a new plan is sent as the entries that differ only.
void writePlanEntries(TopicTable& table, const PublishedFleetPlan& plan);
void writePlanEntries(TopicTable& table, const PublishedServicePlan& plan);
/// The fleet-wide part of the plan in the table; default values where entries are missing.
PublishedFleetPlan readFleetPlan(const TopicTable& table);
/// Nothing if the table has no plan of the service.
std::optional<PublishedServicePlan> readServicePlan(const TopicTable& table);
/// Version 0 if the table has no plan.
PlanVersion readPlanVersion(const TopicTable& table);
/// Whether the entry of that key belongs to the plan.
bool isPlanKey(const std::string& key);

}  // namespace tamarindshift
