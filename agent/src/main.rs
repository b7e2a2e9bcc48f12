//! The agent's program: `snipeyoke-agent SETTINGS`.

use snipeyoke_agent::Agent;

snipeyoke_runtime::program!(Agent);
