//! The router as a standalone program.

use snipeyoke_lib::drain::Source;
use snipeyoke_runtime::program::Program;
use snipeyoke_runtime::threads::Execs;

use crate::node::Router;
use crate::node::StartError;
use crate::settings::Settings;

impl Program for Router {
    const NAME: &'static str = "snipeyoke-router";

    type Settings = Settings;
    type StartError = StartError;

    fn log_filter(settings: &Settings) -> &str {
        &settings.raw.log
    }

    fn thread_count(settings: &Settings) -> usize {
        settings.raw.threads
    }

    async fn start(settings: Settings, execs: &Execs) -> Result<Self, StartError> {
        Self::start(settings, execs).await
    }

    async fn leave_requested(&self) {
        Self::leave_requested(self).await;
    }

    async fn drain(&self, source: Source) {
        Self::drain(self, source).await;
    }
}
