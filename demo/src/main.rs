//! Both users' deployments in small, in one process over loopback.
//!
//! Real requests go through every stage; the answers, their outcomes and the
//! routers' decisions are printed.

mod ask;

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use futures_lite::future;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::logs;
use snipeyoke_runtime::logs::Output;
use snipeyoke_runtime::measures;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::signals::ShutdownSignals;
use snipeyoke_runtime::threads::Threads;
use snipeyoke_site::OPERATOR_KEY;
use snipeyoke_site::Plan;
use snipeyoke_site::Site;
use snipeyoke_site::sentiercoop;
use snipeyoke_site::vestlandsprint;

use crate::ask::Ask;

/// The traffic threads of the whole demo.
const TRAFFIC_COUNT: usize = 4;

/// Both users' deployments in small, in one process over loopback.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// stay up after the requests, until a signal
    #[argh(switch)]
    stay: bool,
    /// log filter, such as warn or decision=info
    #[argh(option, default = "String::from(\"warn,decision=info\")")]
    log: String,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("snipeyoke-demo: a request did not complete; see its lines above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("snipeyoke-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<bool, Box<dyn std::error::Error>> {
    logs::install(&args.log, Output::Stderr)?;
    measures::install();
    let mut leave = ShutdownSignals::register()?;
    let threads = Threads::start(TRAFFIC_COUNT)?;
    let good = future::block_on(async {
        let print = Site::start(&vestlandsprint(), &threads.execs()).await?;
        let rangers = Site::start(&sentiercoop(), &threads.execs()).await?;
        let scope = Scope::new(threads.execs().traffic);
        let client = Client::new(scope.clone(), Duration::from_secs(1));
        let mut good = show(&vestlandsprint(), &print, &client, &printer_asks()).await;
        good &= show(&sentiercoop(), &rangers, &client, &ranger_asks()).await;
        if args.stay {
            invite(&print);
            leave.next().await;
        }
        rangers.stop().await;
        print.stop().await;
        scope.cancel().await;
        Ok::<_, snipeyoke_site::SiteError>(good)
    })?;
    threads.join();
    log::logger().flush();
    Ok(good)
}

async fn show(plan: &Plan, site: &Site, client: &Client, asks: &[Ask]) -> bool {
    println!(
        "\n== {}: {} routers, {} endpoints",
        plan.name,
        plan.routers,
        site.endpoints.len()
    );
    let callers = site.callers();
    let mut good = true;
    for (ask, caller) in asks.iter().zip(callers.iter().cycle()) {
        good &= ask.run(client, *caller).await;
    }
    good
}

fn printer_asks() -> Vec<Ask> {
    vec![
        Ask::chat(
            "key-dagligvare",
            "campaign-draft",
            "Draft this week's grocery leaflet",
            48,
        ),
        Ask::stream(
            "key-pizzeria",
            "headline-fix",
            "Shorten: Our pizza is very tasty",
            24,
        ),
        Ask::plain("key-dagligvare", "order-lookup", r#"{"order": 4711}"#),
        Ask::plain("key-dagligvare", "proof-approve", r#"{"proof": "week-6"}"#),
    ]
}

fn ranger_asks() -> Vec<Ask> {
    vec![
        Ask::chat(
            "key-namur",
            "patrol-brief",
            "Condense the trail logs of this week",
            48,
        ),
        Ask::stream(
            "key-arlon",
            "path-question",
            "Is the bridge on the GR 57 open?",
            24,
        ),
        Ask::plain("key-arlon", "trail-status", r#"{"path": "GR 57"}"#),
        Ask::plain(
            "key-namur",
            "closure-notice",
            r#"{"path": "GR 57", "why": "fallen tree"}"#,
        ),
    ]
}

fn invite(site: &Site) {
    let Some(caller) = site.callers().first().copied() else {
        return;
    };
    println!(
        "\nStaying up. Try:\n  curl -s http://{caller}/v1/chat/completions \
         -H 'Authorization: Bearer key-dagligvare' \
         -d '{{\"model\": \"campaign-draft\", \"messages\": [{{\"role\": \"user\", \
         \"content\": \"Draft a leaflet\"}}]}}'"
    );
    let routers: Vec<_> = site
        .operators()
        .iter()
        .map(|a| format!("\"{a}\""))
        .collect();
    println!(
        "Ask as an operator, in another terminal:\n  \
         echo '{{\"routers\": [{}], \"key\": \"{OPERATOR_KEY}\"}}' > snipeyoke.jsonc\n  \
         cargo run --release -p snipeyoke -- -e 'show requests; show endpoints'",
        routers.join(", ")
    );
    println!(
        "Cut the log off, and bring it back:\n  \
         curl -s http://{0}/fault -d '{{\"refuse\": true}}'\n  \
         curl -s http://{0}/fault -d '{{}}'",
        site.platform
    );
    if let Some(endpoint) = site.endpoints.iter().find(|e| e.pool == "copyllm") {
        println!(
            "Make {} slow:\n  curl -s http://{}/fault -d '{{\"slow\": 400}}'",
            endpoint.name, endpoint.address
        );
    }
    println!("End with Ctrl-C.");
}
