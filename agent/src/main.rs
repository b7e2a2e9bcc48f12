//! The agent binary: `snipeyoke-agent SETTINGS`.

use snipeyoke_agent::Agent;

snipeyoke_runtime::program!(Agent);
