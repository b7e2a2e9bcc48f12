//! Signals that ask a process to leave or to read its settings again.

use std::io;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use nix::sys::signal::SigSet;

/// Holds back the signals of [`ShutdownSignals`] and [`ReloadSignals`] until [`unblock`].
///
/// The system keeps them pending. Meant to run before `main`, so it uses
/// nothing that the language's runtime sets up.
pub fn block() {
    // It fails only for a wrong argument, and there is nowhere to tell it yet.
    let _blocked = handled_signals().thread_block();
}

/// Lets the signals through that [`block`] has held back.
///
/// # Errors
///
/// Returns the system's error if the signals stay blocked.
pub fn unblock() -> io::Result<()> {
    Ok(handled_signals().thread_unblock()?)
}

/// Returns the signals that a process of the system takes.
fn handled_signals() -> SigSet {
    use nix::sys::signal::Signal;
    [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]
        .into_iter()
        .collect()
}

/// Waits for SIGTERM or SIGINT, again at each call.
#[derive(Debug)]
pub struct ShutdownSignals {
    signals: Signals,
}

impl ShutdownSignals {
    /// Registers for the signals.
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
        // The stream ends only with the registration, which lives as long as
        // `self`.
        let _signal = self.signals.next().await;
    }
}

/// Waits for SIGHUP, again at each call.
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
