//! The router's program: `snipeyoke-router SETTINGS`.

use snipeyoke_router::Router;

snipeyoke_runtime::program!(Router);
