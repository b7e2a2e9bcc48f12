//! How long a starting process waits.

use std::time::Duration;

use snipeyoke_lib::startup::Obstacle;
use snipeyoke_lib::startup::StartRetries;
use snipeyoke_lib::time::Time;

const GRACE: Duration = Duration::from_secs(8);

/// Returns how long a start with this obstacle waits, and its number of attempts.
fn wait(retries: &mut StartRetries, start: Time, obstacle: Obstacle) -> (Duration, u32) {
    let mut now = start;
    let mut attempts = 1;
    while let Some(pause) = retries.on_failure(now, obstacle) {
        assert!(pause > Duration::ZERO && pause <= Duration::from_millis(500));
        now = now + pause;
        attempts += 1;
    }
    (now.since(start), attempts)
}

/// Guards against a start that ends before the port of a closed connection is free.
#[test]
fn an_address_in_use_is_awaited_for_longer_than_closed_connections_keep_it() {
    let (waited, attempts) = wait(
        &mut StartRetries::new(GRACE),
        Time::ZERO,
        Obstacle::AddressInUse,
    );
    assert!(waited > Duration::from_mins(1) && waited < Duration::from_secs(90));
    assert!(attempts < 200, "{attempts}");
}

/// Guards against a start that ends while its predecessor still has grace.
#[test]
fn an_address_in_use_is_awaited_for_the_whole_grace_of_a_predecessor() {
    let grace = Duration::from_mins(10);
    let mut retries = StartRetries::new(grace);
    let (waited, _attempts) = wait(&mut retries, Time::ZERO, Obstacle::AddressInUse);
    assert!(waited > grace);
}

/// Guards against a start that goes on although it can't succeed.
#[test]
fn a_missing_address_and_unfinished_settings_are_awaited_for_seconds() {
    for obstacle in [Obstacle::AddressMissing, Obstacle::SettingsUnfinished] {
        let (waited, _attempts) = wait(&mut StartRetries::new(GRACE), Time::ZERO, obstacle);
        assert!(waited >= Duration::from_secs(1) && waited <= Duration::from_secs(5));
    }
}

/// Guards against a start that counts the wait for one obstacle toward the next.
#[test]
fn another_obstacle_is_awaited_from_its_own_beginning() {
    let mut retries = StartRetries::new(GRACE);
    let (waited, _attempts) = wait(&mut retries, Time::ZERO, Obstacle::AddressMissing);
    let later = Time::ZERO + waited;
    assert!(retries.on_failure(later, Obstacle::AddressInUse).is_some());
}
