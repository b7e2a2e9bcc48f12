//! Signals that ask a process to leave or to read its settings again.

use std::io;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT, again at each call.
#[derive(Debug)]
pub struct Leave {
    signals: Signals,
}

impl Leave {
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
pub struct Reload {
    signals: Signals,
}

impl Reload {
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
