//! Operators waiting for their change to be read back from the log.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;
use snipeyoke_lib::config::Applied;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;

/// The waiters, by the id of the awaited record.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    waiting: Mutex<BTreeMap<RecordId, Sender<Applied>>>,
}

/// Waits for one record; unregisters when dropped.
#[derive(Debug)]
pub(crate) struct Waiter<'a> {
    waiters: &'a Waiters,
    id: RecordId,
    receiver: Receiver<Applied>,
}

impl Waiters {
    /// Registers a waiter for a record; must be called before the append.
    pub(crate) fn wait(&self, id: RecordId) -> Waiter<'_> {
        let (sender, receiver) = async_channel::unbounded();
        self.lock().insert(id, sender);
        Waiter {
            waiters: self,
            id,
            receiver,
        }
    }

    /// Notifies the waiter for the record in `bytes` of its effect.
    pub(crate) fn notify(&self, bytes: &[u8], applied: &Applied) {
        let waiting = self.lock();
        if waiting.is_empty() {
            return;
        }
        let Ok(record) = Record::try_from(bytes) else {
            return;
        };
        let sent = waiting.get(&record.id).map(|w| w.try_send(applied.clone()));
        if matches!(sent, Some(Err(_))) {
            log::debug!(event = "operator-gone", record = record.id.to_string().as_str(); "");
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RecordId, Sender<Applied>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiter<'_> {
    /// Waits until the record is read back.
    pub(crate) async fn applied(&self) -> Applied {
        match self.receiver.recv().await {
            Ok(applied) => applied,
            Err(_closed) => std::future::pending().await,
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.waiters.lock().remove(&self.id);
    }
}
