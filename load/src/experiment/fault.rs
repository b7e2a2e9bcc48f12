//! What goes wrong in a trial.

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_standin::Fault;

use crate::cell::Mark;
use crate::drive::FaultPlan;
use crate::plan::Burst;
use crate::scene::Bed;
use crate::scene::Deployment;

/// The start and end of a fault, as shares of the run.
const DURING: (f64, f64) = (0.25, 0.75);

/// The start and end of a burst, as shares of the run.
const BURST: (f64, f64) = (0.4, 0.5);

/// The factor on the time of a straggler's steps.
const STRAGGLE: f64 = 5.0;

/// The factor on the rate in a burst.
const BURST_FACTOR: f64 = 5.0;

/// A fault of the standard set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nothing.
    Plain,
    /// One engine is five times slower, and does not know it.
    Straggler,
    /// One engine is dead; its agent lives.
    Dead,
    /// One engine fails every call at once.
    FailFast,
    /// Every agent and endpoint of one failure domain is gone.
    Domain,
    /// Five times as many requests come for a tenth of the run.
    Burst,
    /// One failure domain and the others see nothing of each other.
    Partition,
    /// The platform is away.
    Platform,
}

impl FaultKind {
    /// The faults of the standard table.
    pub const TABLE: [Self; 5] = [
        Self::Plain,
        Self::Straggler,
        Self::Dead,
        Self::Domain,
        Self::Burst,
    ];

    /// Returns when it starts and ends in a run of so many seconds.
    #[must_use]
    pub fn window(self, seconds: f64) -> Option<(f64, f64)> {
        let share = match self {
            Self::Plain => return None,
            Self::Burst => BURST,
            _ => DURING,
        };
        Some((share.0 * seconds, share.1 * seconds))
    }

    /// Returns the marks for plots.
    #[must_use]
    pub fn marks(self, seconds: f64) -> Vec<Mark> {
        let window = self.window(seconds).into_iter();
        let marks = window.map(|(from, until)| Mark {
            name: self.to_string(),
            from,
            until,
        });
        marks.collect()
    }

    /// Returns the bursts to draw arrivals with.
    #[must_use]
    pub fn bursts(self, seconds: f64) -> Vec<Burst> {
        if self != Self::Burst {
            return Vec::new();
        }
        let window = self.window(seconds).into_iter();
        let bursts = window.map(|(from, until)| Burst {
            from,
            until,
            factor: BURST_FACTOR,
        });
        bursts.collect()
    }

    /// Returns the failure domain that is lost, if one is.
    #[must_use]
    pub fn lost(self, deployment: &Deployment) -> Option<FailureDomain> {
        (self == Self::Domain).then(|| deployment.scene().domains[0].clone())
    }

    /// Returns the failure domain that is cut off, if one is.
    #[must_use]
    pub fn cut(self, deployment: &Deployment) -> Option<FailureDomain> {
        (self == Self::Partition).then(|| deployment.scene().domains[0].clone())
    }

    /// Returns the faults to set on stand-ins.
    #[must_use]
    pub fn plans(self, bed: &Bed, deployment: &Deployment, seconds: f64) -> Vec<FaultPlan> {
        let Some((from, until)) = self.window(seconds) else {
            return Vec::new();
        };
        // The first pool is that of the model engines.
        let pool = deployment.scene().pools.first().map(|p| &p.name);
        let engine = bed.seats().iter().find(|s| Some(&s.pool) == pool);
        let engine = engine.map(|s| s.endpoint);
        let lost = self.lost(deployment);
        let in_domain = bed
            .seats()
            .iter()
            .filter(|s| Some(&s.domain) == lost.as_ref());
        let dead = Fault {
            dead: true,
            ..Fault::default()
        };
        let (at, fault) = match self {
            Self::Plain | Self::Burst | Self::Partition => return Vec::new(),
            Self::Straggler => (
                engine.into_iter().collect(),
                Fault {
                    slow: STRAGGLE,
                    ..Fault::default()
                },
            ),
            Self::Dead => (engine.into_iter().collect(), dead),
            Self::FailFast => (
                engine.into_iter().collect(),
                Fault {
                    fail: 1.0,
                    ..Fault::default()
                },
            ),
            Self::Domain => (in_domain.map(|s| s.endpoint).collect(), dead),
            Self::Platform => (vec![bed.platform()], dead),
        };
        vec![FaultPlan {
            name: self.to_string(),
            from,
            until,
            at,
            fault,
        }]
    }
}
