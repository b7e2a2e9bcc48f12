//! Locks that are held for short sections only.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex, also after a panic elsewhere.
///
/// Each section leaves its data whole between two statements, so a poisoned
/// lock tells nothing more than the panic itself, which is reported anyway.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
