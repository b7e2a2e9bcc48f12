//! A bound on the lines that wait, with a count of those dropped.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::record::Record;

/// The lines between the threads that log and the one that writes.
#[derive(Debug, Clone, Default)]
pub(super) struct QueuedLines(Arc<AtomicUsize>);

/// Takes lines in, as long as fewer than a number of them wait.
#[derive(Debug)]
pub(super) struct BoundedAppend<A> {
    pub(super) inner: A,
    pub(super) queued_lines: QueuedLines,
    pub(super) limit: usize,
}

/// Writes lines and counts them out.
#[derive(Debug)]
pub(super) struct CountingAppend<A> {
    pub(super) inner: A,
    pub(super) queued_lines: QueuedLines,
}

impl<A: Append> Append for BoundedAppend<A> {
    // A reader of standard error that stands still would fill the queue: the
    // threads that serve requests would wait for it, or the queue would take
    // the node's memory. Beyond the limit a line is dropped here, at once, and
    // counted, so that a gap in the log is known to be one.
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let before = self.queued_lines.0.fetch_add(1, Ordering::Relaxed);
        if before >= self.limit {
            self.queued_lines.0.fetch_sub(1, Ordering::Relaxed);
            metrics::counter!("snipeyoke_log_dropped_total").increment(1);
            return Ok(());
        }
        self.inner.append(record, diags)
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}

impl<A: Append> Append for CountingAppend<A> {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.queued_lines.0.fetch_sub(1, Ordering::Relaxed);
        self.inner.append(record, diags)
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}
