//! Speeds of the endpoints of a stage service, and what their calls show of them.

use super::queue::BatchQueue;
use crate::serving::directory::Directory;
use crate::serving::directory::Endpoint;
use crate::serving::directory::Entry;

/// What an ended call shows of the speed of its endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct CallTime {
    /// The endpoint.
    pub entry: Entry,
    /// The ratio of its time to that of a usual endpoint without contention.
    pub ratio: f32,
    /// Whether the time may include waiting.
    pub waited: bool,
}

impl BatchQueue {
    /// Takes what the calls that ended since the last call show of the speed of
    /// their endpoints.
    pub fn take_call_times(&mut self) -> Vec<CallTime> {
        std::mem::take(&mut self.speed_samples)
    }

    /// Updates the estimates of the endpoints from those of the directory.
    pub fn update_speeds(&mut self, directory: &Directory) {
        for (id, stage_endpoint) in &mut self.endpoints {
            let endpoint = directory.get(id);
            let endpoint = endpoint.filter(|e| e.is_run_of(&stage_endpoint.entry));
            stage_endpoint.speed = endpoint.and_then(Endpoint::speed).copied();
        }
    }
}
