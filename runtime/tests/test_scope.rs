//! Scopes whose tasks panic.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use futures_lite::FutureExt;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Threads;

/// Returns whether a future ends within a second.
async fn ends(future: impl Future<Output = ()>) -> bool {
    let ended = async {
        future.await;
        true
    };
    let timeout = async {
        Timer::after(Duration::from_secs(1)).await;
        false
    };
    ended.or(timeout).await
}

/// Guards against a process that waits forever at its end for a task that has panicked.
#[test]
fn a_scope_is_joined_although_a_task_panicked() {
    let threads = Threads::start(1).expect("threads start");
    let scope = Scope::new(Arc::clone(&threads.execs().traffic));
    scope.spawn(async { panic!("on purpose") });
    assert!(block_on(ends(scope.join())));
    threads.join();
}

/// Guards against a process that ends with a panic because one of its tasks has panicked.
#[test]
fn a_scope_is_cancelled_although_a_task_panicked() {
    let threads = Threads::start(1).expect("threads start");
    let scope = Scope::new(Arc::clone(&threads.execs().traffic));
    scope.spawn(async { panic!("on purpose") });
    block_on(async {
        Timer::after(Duration::from_millis(50)).await;
        scope.cancel().await;
    });
    threads.join();
}

/// Guards against a thread that serves nobody after one of its tasks has panicked.
#[test]
fn other_tasks_go_on_after_a_panic() {
    let threads = Threads::start(1).expect("threads start");
    let scope = Scope::new(Arc::clone(&threads.execs().traffic));
    scope.spawn(async { panic!("on purpose") });
    let (done, ended) = async_channel::bounded(1);
    scope.spawn(async move {
        Timer::after(Duration::from_millis(50)).await;
        let _received = done.try_send(());
    });
    assert!(block_on(ends(async {
        ended.recv().await.expect("the task sends");
    })));
    threads.join();
}

/// Guards against a process that goes on without a part that it can't do without.
#[test]
fn the_panic_of_an_essential_task_is_told() {
    let threads = Threads::start(1).expect("threads start");
    let scope = Scope::new(Arc::clone(&threads.execs().traffic));
    scope.spawn(async { panic!("on purpose") });
    assert!(!block_on(ends(scope.failed())));
    scope.spawn_essential(async { panic!("on purpose") });
    assert!(block_on(ends(scope.failed())));
    threads.join();
}
