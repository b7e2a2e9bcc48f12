//! Free ports on the loopback address.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// The first port tried: below the range from which the system gives ports to
/// connections, so that none of these takes one before it is bound.
const FIRST: u16 = 20_000;

/// The number of ports tried.
const COUNT: u16 = 12_000;

/// The ports between the starts of two processes with neighbouring ids.
const SPREAD: u32 = 997;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns an address that was free a moment ago.
///
/// # Errors
///
/// Returns the system's last error when every port is taken.
pub fn free() -> io::Result<SocketAddr> {
    // Two runs on one host start at different places, also with neighbouring ids.
    let spread = std::process::id().wrapping_mul(SPREAD) % u32::from(COUNT);
    let offset = u16::try_from(spread).unwrap_or_default();
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _try in 0..COUNT {
        let next = NEXT.fetch_add(1, Ordering::Relaxed) % COUNT;
        let port = FIRST + (next + offset) % COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpListener::bind(address) {
            Ok(_freed) => return Ok(address),
            Err(error) => last = error,
        }
    }
    Err(last)
}
