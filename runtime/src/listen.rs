//! Listeners at addresses that may not be free yet.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use rustix::io::Errno;
use snipeyoke_lib::startup::Obstacle;
use snipeyoke_lib::startup::StartRetries;

use crate::clock::Clock;

/// The reason why a process can't listen.
#[derive(Debug)]
#[derive(Display, Error)]
#[display("{address}: can't listen: {source}; {}", remedy(source))]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The system's error.
    pub source: io::Error,
}

fn remedy(error: &io::Error) -> &'static str {
    match obstacle(error) {
        Some(Obstacle::AddressInUse) => {
            "free the address, or keep its port out of the system's range for connections"
        }
        Some(Obstacle::AddressMissing) => "check that the address belongs to this host",
        _ if Errno::from_io_error(error) == Some(Errno::MFILE) => "raise the descriptor limit",
        _ => "check the address and the permissions of the process",
    }
}

/// Returns the obstacle behind an error, if it may pass by itself.
fn obstacle(error: &io::Error) -> Option<Obstacle> {
    match error.kind() {
        io::ErrorKind::AddrInUse => Some(Obstacle::AddressInUse),
        io::ErrorKind::AddrNotAvailable => Some(Obstacle::AddressMissing),
        _ => None,
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Returns [`ListenError`], for example if the address is in use.
pub fn bind(address: SocketAddr) -> Result<Async<TcpListener>, ListenError> {
    Async::<TcpListener>::bind(address).map_err(|source| ListenError { address, source })
}

/// Binds a listener; waits while the address is not free.
///
/// `predecessor_grace` is the time that a predecessor has to leave the address.
///
/// # Errors
///
/// Returns [`ListenError`] if the address does not become free in time.
pub async fn bind_when_free(
    address: SocketAddr,
    predecessor_grace: Duration,
) -> Result<Async<TcpListener>, ListenError> {
    let clock = Clock::start();
    let mut retries = StartRetries::new(predecessor_grace);
    let mut waited = false;
    loop {
        let error = match bind(address) {
            Ok(listener) => {
                if waited {
                    log::info!(event = "address-bound", address = address.to_string().as_str(), took_ms = clock.now().as_micros() / 1_000; "");
                }
                return Ok(listener);
            }
            Err(error) => error,
        };
        let obstacle = obstacle(&error.source);
        let Some(pause) = obstacle.and_then(|o| retries.on_failure(clock.now(), o)) else {
            return Err(error);
        };
        if !waited {
            log::warn!(event = "address-unavailable", error = error.to_string().as_str(), outcome = "the start waits"; "");
        }
        waited = true;
        Timer::after(pause).await;
    }
}
