//! Signals that request a shutdown or a reload of the settings.

use std::io;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use nix::sys::signal::SigSet;

/// Blocks the signals of [`ShutdownSignals`] and [`ReloadSignals`] until [`unblock`].
///
/// The kernel keeps them pending. Runs before `main`, so it depends on nothing that
/// the Rust runtime sets up.
pub fn block() {
    // It fails only for an invalid argument, and errors can't be reported yet.
    let _blocked = handled_signals().thread_block();
}

/// Unblocks the signals blocked by [`block`].
///
/// # Errors
///
/// Returns the system's error if the signals stay blocked.
pub fn unblock() -> io::Result<()> {
    Ok(handled_signals().thread_unblock()?)
}

/// Returns the signals that a process handles.
fn handled_signals() -> SigSet {
    use nix::sys::signal::Signal;
    [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]
        .into_iter()
        .collect()
}

/// A stream of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct ShutdownSignals {
    signals: Signals,
}

impl ShutdownSignals {
    /// Registers for the signals, which would otherwise end the process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the signals can't be registered.
    pub fn register() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok(Self { signals })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        // The stream ends only when the registration is dropped with `self`.
        let _signal = self.signals.next().await;
    }
}

/// A stream of SIGHUP.
#[derive(Debug)]
pub struct ReloadSignals {
    signals: Signals,
}

impl ReloadSignals {
    /// Registers for the signal, which would otherwise end the process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the signal can't be registered.
    pub fn register() -> io::Result<Self> {
        let signals = Signals::new([Signal::Hup])?;
        Ok(Self { signals })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let _signal = self.signals.next().await;
    }
}
