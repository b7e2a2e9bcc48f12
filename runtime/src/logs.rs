//! Logging as lines of key=value pairs.

mod bound;
mod layout;

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use logforth::Append;
use logforth::append::Async;
use logforth::append::Stderr;
use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::bridge::log::LogBridge;
use logforth::core::builder;
use logforth::filter::rustlog::RustLogFilterBuilder;

use self::bound::BoundedAppend;
use self::bound::CountingAppend;
use self::bound::QueuedLines;
use self::layout::Pairs;

/// The maximum number of queued log lines.
///
/// A slow reader of the log must not block traffic. Lines beyond this limit are
/// dropped and counted as `snipeyoke_log_dropped_total`.
const QUEUE_MAX_LINES: usize = 8_192;

/// How long a process that ends waits for the reader of its log.
///
/// It fits between the last responses and the end of the grace period.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The reason why the log can't be set up.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum LogsError {
    /// The filter is malformed.
    #[display("the log filter {filter:?} is malformed: write LEVEL or TARGET=LEVEL,…")]
    Filter {
        /// The filter as given.
        filter: String,
    },
    /// A logger is already installed.
    #[display("a logger is already installed: call this once per process")]
    AlreadyInstalled,
}

/// The destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Sends log events to `output`, filtered by `filter`.
///
/// # Errors
///
/// Returns [`LogsError`] for a malformed filter or a second call.
pub fn install(filter: &str, output: Output) -> Result<(), LogsError> {
    let spec =
        RustLogFilterBuilder::try_from_spec(filter).map_err(|_malformed| LogsError::Filter {
            filter: filter.to_owned(),
        })?;
    let append = match output {
        Output::Stdout => with_bounded_queue(Stdout::default().with_layout(Pairs)),
        Output::Stderr => with_bounded_queue(Stderr::default().with_layout(Pairs)),
    };
    let logger = builder()
        .dispatch(|d| d.filter(spec.build()).append(append))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .map_err(|_installed| LogsError::AlreadyInstalled)?;
    log::set_max_level(log::LevelFilter::Trace);
    Ok(())
}

/// Wraps an output in a bounded queue and a thread that drains it.
fn with_bounded_queue(output: impl Append) -> BoundedAppend<Async> {
    let queued_lines = QueuedLines::default();
    let counting = CountingAppend {
        inner: output,
        queued_lines: queued_lines.clone(),
    };
    // The queue has room for all accepted lines and one flush, so it never drops
    // lines itself.
    let queue = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(QUEUE_MAX_LINES + 1))
        .overflow_drop_incoming()
        .append(counting)
        .build();
    BoundedAppend {
        inner: queue,
        queued_lines,
        limit: QUEUE_MAX_LINES,
    }
}

/// Writes out queued log lines; gives up if the reader of the log does not take them.
pub fn flush() {
    let (done, flushed) = mpsc::channel();
    let flush = move || {
        log::logger().flush();
        // The receiver may have given up.
        let _late = done.send(());
    };
    if thread::Builder::new().spawn(flush).is_ok() {
        let _unread = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Logs one event whose keys are only known at run time.
pub fn event(target: &str, pairs: &[(&'static str, String)]) {
    let level = log::Level::Info;
    let metadata = log::Metadata::builder().level(level).target(target).build();
    if !log::logger().enabled(&metadata) {
        return;
    }
    let record = log::Record::builder()
        .metadata(metadata)
        .args(format_args!(""))
        .key_values(&pairs)
        .build();
    log::logger().log(&record);
}
