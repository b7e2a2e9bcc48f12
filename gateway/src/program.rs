//! The gateway as a standalone program.

use std::marker::PhantomData;
use std::sync::Arc;

use futures_lite::future;
use snipeyoke_lib::drain::Source;
use snipeyoke_runtime::logs::Output;
use snipeyoke_runtime::program::Program;
use snipeyoke_runtime::threads::Execs;

use crate::dialect::Dialect;
use crate::node::Gateway;
use crate::node::StartError;
use crate::registry::Registry;
use crate::settings::Settings;

/// The platform-specific parts of a gateway.
pub trait Adapter: 'static {
    /// Returns the protocol of the platform's callers and endpoints.
    fn dialect(settings: &Settings) -> Arc<dyn Dialect>;

    /// Returns the registry of routes and endpoints.
    fn registry(settings: &Settings, execs: &Execs) -> Arc<dyn Registry>;
}

/// A gateway on the platform that `A` adapts.
#[derive(Debug)]
pub struct GatewayProgram<A> {
    gateway: Gateway,
    adapter: PhantomData<A>,
}

impl<A: Adapter> Program for GatewayProgram<A> {
    const NAME: &'static str = "snipeyoke-front";
    const LOG: Output = Output::Stdout;

    type Settings = Settings;
    type StartError = StartError;

    fn log_filter(settings: &Settings) -> &str {
        &settings.log
    }

    fn thread_count(_settings: &Settings) -> usize {
        1
    }

    async fn start(settings: Settings, execs: &Execs) -> Result<Self, StartError> {
        let dialect = A::dialect(&settings);
        let registry = A::registry(&settings, execs);
        let gateway = Gateway::start(settings, dialect, registry, execs).await?;
        Ok(Self {
            gateway,
            adapter: PhantomData,
        })
    }

    fn reload(&self, settings: Settings) {
        self.gateway.reload(&settings);
    }

    async fn leave_requested(&self) {
        future::pending::<()>().await;
    }

    async fn failed(&self) {
        self.gateway.failed().await;
    }

    async fn drain(&self, _source: Source) {
        self.gateway.drain().await;
    }
}
