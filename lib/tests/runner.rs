//! Runs every test of the library.

mod test_config_model;
mod test_drain;
mod test_membership;
mod test_once_schedules;
mod test_placement;
mod test_query;
