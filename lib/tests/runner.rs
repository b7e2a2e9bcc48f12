//! Runs every test of the library.

mod chain_world;
mod pipeline_world;
mod test_admission;
mod test_boundaries;
mod test_chain;
mod test_chain_random;
mod test_config_fold;
mod test_config_model;
mod test_config_parts;
mod test_directory;
mod test_drain;
mod test_fleet;
mod test_journal;
mod test_limits;
mod test_membership;
mod test_once_scenarios;
mod test_once_schedules;
mod test_outcome;
mod test_owners;
mod test_pieces;
mod test_pipeline_load;
mod test_placement;
mod test_plan;
mod test_query;
mod test_serving;
mod test_slots;
