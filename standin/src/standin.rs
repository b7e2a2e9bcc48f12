//! A stand-in bound to its address, and one that runs.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use async_executor::Executor;
use async_executor::Task;
use async_io::Async;

use crate::engine::Engine;
use crate::http;
use crate::http::Service;
use crate::plain::Plain;
use crate::platform::Platform;
use crate::settings::Settings;

/// A stand-in that holds its address but does not serve yet.
pub struct Standin {
    address: SocketAddr,
    listener: Async<TcpListener>,
    service: Arc<dyn Service>,
}

impl fmt::Debug for Standin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Standin")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Standin {
    /// Binds the address in the settings; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address can't be bound.
    pub fn bind(settings: Settings) -> io::Result<Self> {
        let listen = settings.listen();
        let service: Arc<dyn Service> = match settings {
            Settings::Platform(settings) => Arc::new(Platform::new(settings)),
            Settings::Engine(settings) => Arc::new(Engine::new(settings)),
            Settings::Plain(settings) => Arc::new(Plain::new(settings)),
        };
        let listener = Async::<TcpListener>::bind(listen)?;
        let address = listener.get_ref().local_addr()?;
        Ok(Self {
            address,
            listener,
            service,
        })
    }

    /// Returns the address bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the future is dropped, which ends every connection and task.
    pub fn serve(self) -> impl Future<Output = ()> + Send + 'static {
        http::serve(self.listener, self.service)
    }

    /// Binds the address and serves on an executor.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address can't be bound.
    pub fn start(executor: &Executor<'_>, settings: Settings) -> io::Result<Running> {
        let standin = Self::bind(settings)?;
        let address = standin.address;
        let task = executor.spawn(standin.serve());
        Ok(Running { address, task })
    }
}

/// A stand-in that serves; dropping it stops it.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    task: Task<()>,
}

impl Running {
    /// Returns the address on which it serves.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it and waits until all that it spawned has ended.
    pub async fn stop(self) {
        self.task.cancel().await;
    }
}
