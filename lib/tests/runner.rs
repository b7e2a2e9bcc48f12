//! Runs every test of the library.

mod test_config_model;
mod test_once_schedules;
mod test_query;
