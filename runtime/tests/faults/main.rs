//! Tests of the reports of fatal signals.
//!
//! Each case runs this program as a child process that faults on purpose.

use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::process::ExitCode;
use std::process::Output;
use std::sync::Arc;

use futures_lite::future;
use rustix::process::Signal;
use snipeyoke_runtime::faults;
use snipeyoke_runtime::threads::Threads;

/// The environment variable with the fault that a child process has to trigger.
const FAULT_VAR: &str = "SNIPEYOKE_TEST_FAULT";

/// The environment variable with the thread in which it has to fault.
const THREAD_VAR: &str = "SNIPEYOKE_TEST_THREAD";

/// The threads in which the test can trigger a fault.
const THREADS: &[&str] = &["main", "control", "traffic"];

fn main() -> ExitCode {
    if let (Ok(fault), Ok(thread)) = (std::env::var(FAULT_VAR), std::env::var(THREAD_VAR)) {
        run_fault(&fault, &thread);
    }
    let mut failed = 0;
    let mut passed = 0;
    for (fault, signal, threads) in FAULTS {
        for thread in *threads {
            match check(fault, *signal, thread) {
                Ok(()) => passed += 1,
                Err(error) => {
                    println!("{fault} in thread {thread}: {error}");
                    failed += 1;
                }
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The faults, each with the signal that ends its process, and the threads.
///
/// A signal sent to a process is delivered to its main thread unless blocked there.
const FAULTS: &[(&str, Signal, &[&str])] = &[
    ("write", Signal::SEGV, THREADS),
    ("execute", Signal::SEGV, THREADS),
    ("overflow", Signal::ABORT, THREADS),
    ("abort", Signal::ABORT, THREADS),
    ("sent", Signal::SEGV, &["main"]),
];

/// Guards against a process that dies of a fatal signal without a report.
fn check(fault: &str, signal: Signal, thread: &str) -> Result<(), String> {
    let own = std::env::current_exe().expect("the test has a path");
    let mut child = Command::new(own);
    let child = child.env(FAULT_VAR, fault).env(THREAD_VAR, thread);
    let output = child.output().expect("the child process starts");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let ended = output.status.signal();
    if ended != Some(signal.as_raw()) {
        return Err(format!("ended with {}: {stderr}", output.status));
    }
    let expected = expected(fault, thread, &output);
    if let Some(missing) = expected.iter().find(|pair| !stderr.contains(*pair)) {
        return Err(format!("no {missing:?} in: {stderr}"));
    }
    let frames = stderr
        .lines()
        .find(|l| l.starts_with("event=fatal-signal-stack"));
    if !frames.is_some_and(|l| l.contains(&format!("{}+0x", own_name()))) {
        return Err(format!("no frame of the program in: {stderr}"));
    }
    Ok(())
}

/// Returns the key=value pairs and texts that a report must contain.
fn expected(fault: &str, thread: &str, output: &Output) -> Vec<String> {
    let own = own_name();
    // The kernel truncates thread names to 15 bytes.
    let main = &own[..own.len().min(15)];
    let name = if thread == "main" { main } else { thread };
    let mut pairs = vec![
        "event=fatal-signal program=faults ".to_owned(),
        "event=fatal-signal-registers ".to_owned(),
        format!(" thread={name} "),
    ];
    match fault {
        "write" => pairs.extend([" address=0x10 ".into(), format!(" instruction={own}+0x")]),
        "execute" => {
            pairs.push(" address=0x2000 instruction=unmapped+0x2000 at=- before=- ".into());
        }
        "overflow" => pairs.push("has overflowed its stack".into()),
        "abort" => pairs.push(" signal=6 ".into()),
        _ => pairs.push(" sender=".into()),
    }
    assert!(
        output.stdout.is_empty(),
        "reports go to standard error only"
    );
    pairs
}

fn own_name() -> String {
    let path = std::env::current_exe().expect("the test has a path");
    let name = path.file_name().expect("it has a name");
    name.to_string_lossy().into_owned()
}

/// Triggers the fault in the named thread of a process set up as in production.
fn run_fault(fault: &str, thread: &str) {
    faults::install("faults").expect("the handler can be installed");
    let threads = Threads::start(1).expect("threads start");
    let execs = threads.execs();
    let exec = match thread {
        "control" => Arc::clone(&execs.control),
        "traffic" => Arc::clone(&execs.traffic),
        _ => return trigger(fault),
    };
    let fault = fault.to_owned();
    let task = exec.spawn(async move { trigger(&fault) });
    future::block_on(task);
}

fn trigger(fault: &str) {
    match fault {
        "write" => write(),
        "execute" => execute(),
        "overflow" => assert_ne!(overflow(1), 0),
        "abort" => std::process::abort(),
        _ => send(),
    }
}

fn write() {
    let address = std::hint::black_box(0x10) as *mut u8;
    // SAFETY: unsound on purpose; the page is never mapped, so the write faults.
    unsafe { address.write_volatile(1) };
}

fn execute() {
    let address = std::hint::black_box(0x2000) as *const ();
    // SAFETY: unsound on purpose; the page is never mapped, so the call faults.
    let function = unsafe { std::mem::transmute::<*const (), fn()>(address) };
    function();
}

#[expect(unconditional_recursion, reason = "the test needs a stack overflow")]
fn overflow(depth: u64) -> u64 {
    let frame = std::hint::black_box([depth; 64]);
    overflow(depth + 1).wrapping_add(frame[1])
}

fn send() {
    let own = rustix::process::getpid();
    rustix::process::kill_process(own, Signal::SEGV).expect("a process may signal itself");
    loop {
        std::thread::park();
    }
}
