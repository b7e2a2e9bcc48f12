//! Conversions between dispatcher types and wire frames.

use std::sync::Arc;
use std::time::Duration;

use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::admission::ChainPart;
use snipeyoke_lib::serving::admission::GROUPS_MAX;
use snipeyoke_lib::serving::admission::LoadReport;
use snipeyoke_lib::serving::admission::Promise;
use snipeyoke_lib::serving::admission::RequestChain;
use snipeyoke_lib::serving::admission::RequestKey;
use snipeyoke_lib::serving::admission::Work;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::StageInput;
use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::Clearance;
use snipeyoke_lib::serving::crashes::EndReport;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Inquiry;
use snipeyoke_lib::serving::crashes::PartId;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::homes::Homes;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::position::Rank;
use snipeyoke_lib::serving::prefix_sources::PrefixSource;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;
use snipeyoke_wire::EndedRequest;
use snipeyoke_wire::EndpointEnd;
use snipeyoke_wire::KeyedRecord;
use snipeyoke_wire::PieceJob;
use snipeyoke_wire::PieceJobEnd;
use snipeyoke_wire::Placed;
use snipeyoke_wire::Quarantine;
use snipeyoke_wire::SuspectAge;
use snipeyoke_wire::SuspectAsk;
use snipeyoke_wire::SuspectsCleared;

use super::JobNumber;
use super::JobResult;
use super::StageResult;

/// Converts a job to its frame.
pub(super) fn job_frame(now: Time, number: JobNumber, service: &str, job: &Job) -> PieceJob {
    let micros = |at: Time| at.since(now).as_micros() as u64;
    let inputs = match &job.input {
        StageInput::Key => Vec::new(),
        StageInput::Results(inputs) => inputs.clone(),
    };
    let near = job.input_source.as_ref().map(|(domain, _)| domain);
    PieceJob {
        job: number.0,
        service: service.to_owned(),
        request: job.request.clone(),
        fingerprint: job.fingerprint.map(bytes_of).unwrap_or_default(),
        stage: job.stage as u32,
        pieces: job.items.clone(),
        key: job.key.clone(),
        inputs,
        each: job.result_bytes.0,
        goal_us: micros(job.target),
        due_us: micros(job.deadline),
        domain: job
            .result_domain
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        priority: u32::from(job.priority),
        inputs_domain: near.map(ToString::to_string).unwrap_or_default(),
        inputs_bytes: job.input_source.as_ref().map_or(0, |(_, bytes)| bytes.0),
        homes: home_names(&job.homes),
        chain: job.chain.as_ref().map(|c| chain_frame(now, c)),
    }
}

/// Converts a frame to a job.
pub(super) fn job_of(now: Time, frame: PieceJob) -> Job {
    let after = |micros: u64| now + Duration::from_micros(micros);
    let work = if frame.inputs.is_empty() {
        StageInput::Key
    } else {
        StageInput::Results(frame.inputs)
    };
    let near = frame.inputs_domain.parse().ok();
    Job {
        request: frame.request,
        fingerprint: fingerprint(&frame.fingerprint),
        stage: frame.stage as usize,
        items: frame.pieces,
        input: work,
        key: frame.key,
        result_bytes: Bytes(frame.each),
        target: after(frame.goal_us),
        deadline: after(frame.due_us),
        result_domain: frame.domain.parse().ok(),
        priority: u8::try_from(frame.priority).unwrap_or(u8::MAX),
        input_source: near.map(|domain| (domain, Bytes(frame.inputs_bytes))),
        homes: homes_of(&frame.homes),
        chain: frame.chain.as_ref().map(|c| chain_of(now, c)),
    }
}

/// Converts homes to their field of a frame.
pub(super) fn home_names(homes: &Homes) -> Vec<String> {
    homes.iter().map(ToString::to_string).collect()
}

/// Converts a field of a frame to homes; an unreadable name permits nothing.
pub(super) fn homes_of(names: &[String]) -> Homes {
    if names.is_empty() {
        return Homes::default();
    }
    Homes::only(names.iter().filter_map(|name| name.parse().ok()))
}

/// Converts a job's outcome to a frame for the node that submitted it.
pub(super) fn job_end_frame(now: Time, result: &JobResult) -> PieceJobEnd {
    let promise = result.promise.as_ref();
    let results = result.results.iter().map(|r| snipeyoke_wire::PieceResult {
        piece: r.item,
        handle: r.handle.clone(),
        endpoint: r.endpoint.to_string(),
    });
    PieceJobEnd {
        job: result.number.0,
        made: results.collect(),
        failure: result.failure.map(|f| f.to_string()).unwrap_or_default(),
        backlog_ms: result.backlog.as_millis() as u64,
        promise: promise.map(|p| promise_frame(now, p)),
        refusals: result.refusals,
    }
}

/// Converts a frame to a job's outcome; omits results whose endpoint is invalid.
pub(super) fn job_result_of(now: Time, frame: PieceJobEnd) -> JobResult {
    let results = frame.made.into_iter().filter_map(|r| {
        Some(StageResult {
            item: r.piece,
            handle: r.handle,
            endpoint: r.endpoint.parse().ok()?,
        })
    });
    let failure = match frame.failure.as_str() {
        "" => None,
        text => Some(text.parse().unwrap_or(super::JobFailure::Failed)),
    };
    JobResult {
        number: JobNumber(frame.job),
        results: results.collect(),
        failure,
        backlog: Duration::from_millis(frame.backlog_ms),
        promise: frame.promise.and_then(|p| promise_of(now, p)),
        refusals: frame.refusals,
    }
}

/// Converts a promise to its frame.
pub(super) fn promise_frame(now: Time, promise: &Promise) -> snipeyoke_wire::Promise {
    snipeyoke_wire::Promise {
        key: promise.key.0,
        account: account_name(promise.account.as_ref()),
        priority: u32::from(promise.priority),
        due_us: promise.due.since(now).as_micros() as u64,
        since_us: now.since(promise.due).as_micros() as u64,
        left_us: promise.deadline.since(now).as_micros() as u64,
        refusals: promise.refusals,
        attempt: promise.attempt.clone(),
        parts: promise.parts.iter().map(|p| part_frame(now, p)).collect(),
    }
}

/// Converts a frame to a promise; `None` if the frame is invalid.
pub(super) fn promise_of(now: Time, frame: snipeyoke_wire::Promise) -> Option<Promise> {
    let parts = frame.parts.iter().map(|p| part_of(now, p));
    Some(Promise {
        key: RequestKey(frame.key),
        account: frame.account.parse().ok(),
        priority: u8::try_from(frame.priority).unwrap_or(u8::MAX),
        due: now + Duration::from_micros(frame.due_us) - Duration::from_micros(frame.since_us),
        deadline: now + Duration::from_micros(frame.left_us),
        refusals: frame.refusals,
        attempt: frame.attempt,
        parts: parts.collect::<Option<_>>()?,
    })
}

/// Converts a report of a load to its frame.
pub(super) fn load_report_frame(
    now: Time,
    service: &PoolName,
    (shard, shards): (u32, u32),
    report: &LoadReport,
) -> snipeyoke_wire::LoadReport {
    let waiting = report.work.groups().take(GROUPS_MAX);
    let waiting = waiting.map(|(due, priority, amount)| snipeyoke_wire::WaitingWork {
        due_us: due.since(now).as_micros() as u64,
        priority: u32::from(priority),
        amount,
    });
    snipeyoke_wire::LoadReport {
        service: service.to_string(),
        shard,
        shards,
        rate: report.rate,
        waiting: waiting.collect(),
    }
}

/// Converts a frame to a report of a load; `None` if the frame is invalid.
pub(super) fn load_report_of(
    now: Time,
    frame: &snipeyoke_wire::LoadReport,
) -> Option<(PoolName, LoadReport)> {
    let service = frame.service.parse().ok()?;
    let mut work = Work::default();
    for waiting in frame.waiting.iter().take(GROUPS_MAX) {
        if !waiting.amount.is_finite() || waiting.amount < 0.0 {
            return None;
        }
        let priority = u8::try_from(waiting.priority).unwrap_or(u8::MAX);
        let due = now + Duration::from_micros(waiting.due_us);
        work.add(due, priority, waiting.amount);
    }
    let report = LoadReport {
        at: now,
        rate: frame.rate,
        work,
    };
    Some((service, report))
}

fn chain_frame(now: Time, chain: &RequestChain) -> snipeyoke_wire::RequestChain {
    snipeyoke_wire::RequestChain {
        key: chain.key.0,
        account: account_name(chain.account.as_ref()),
        parts: chain.parts.iter().map(|p| part_frame(now, p)).collect(),
        accepted: chain.accepted,
        refusals: chain.refusals,
    }
}

fn chain_of(now: Time, frame: &snipeyoke_wire::RequestChain) -> RequestChain {
    // Without a readable name of a service, its load counts as unknown.
    let parts = frame.parts.iter().filter_map(|p| part_of(now, p));
    RequestChain {
        key: RequestKey(frame.key),
        account: frame.account.parse().ok(),
        parts: parts.collect(),
        accepted: frame.accepted,
        refusals: frame.refusals,
    }
}

fn part_frame(now: Time, part: &ChainPart) -> snipeyoke_wire::ChainPart {
    snipeyoke_wire::ChainPart {
        service: part.service.to_string(),
        amount: part.amount,
        goal_us: part.target.since(now).as_micros() as u64,
        due_us: part.deadline.since(now).as_micros() as u64,
    }
}

fn part_of(now: Time, frame: &snipeyoke_wire::ChainPart) -> Option<ChainPart> {
    Some(ChainPart {
        service: frame.service.parse().ok()?,
        amount: frame.amount,
        target: now + Duration::from_micros(frame.goal_us),
        deadline: now + Duration::from_micros(frame.due_us),
    })
}

fn account_name(account: Option<&ClientAccount>) -> String {
    account.map(ToString::to_string).unwrap_or_default()
}

/// Returns the version that stands for a rank of a configuration in frames; 0 for
/// none.
pub(super) fn version_of(rank: Option<Rank>) -> u64 {
    rank.map_or(0, |r| r.major)
}

/// Returns the rank of a version.
pub(super) fn rank_of(version: u64) -> Option<Rank> {
    let rank = Rank {
        major: version,
        minor: 0,
    };
    (version > 0).then_some(rank)
}

/// Converts a record to its frame.
pub(super) fn record_frame(record: Record) -> KeyedRecord {
    KeyedRecord {
        key: record.key,
        value: record.value.map(|v| v.to_vec().into()),
        offset: record.position.offset.0,
        era: record.position.era.0,
    }
}

/// Converts a frame to a record.
pub(super) fn record_of(frame: KeyedRecord) -> Record {
    Record {
        key: frame.key,
        value: frame.value.map(|v| Arc::from(v.as_ref())),
        position: Position::new(frame.era, frame.offset),
    }
}

/// Converts the end of an endpoint to its frame.
pub(super) fn endpoint_end_frame(now: Time, report: &EndReport) -> EndpointEnd {
    let requests = report.casualties.iter().map(|casualty| EndedRequest {
        fingerprint: bytes_of(casualty.request),
        parts: casualty.parts.iter().map(|part| id_bytes(part.0)).collect(),
        sent_ms: report.at.since(casualty.sent).as_millis() as u64,
        answered_ms: casualty.answered.as_millis() as u64,
    });
    EndpointEnd {
        endpoint: report.incarnation.endpoint.to_string(),
        born: report.incarnation.started_at,
        age_ms: now.since(report.at).as_millis() as u64,
        requests: requests.collect(),
    }
}

/// Converts a frame to the end of an endpoint; `None` if the frame is invalid.
pub(super) fn endpoint_end_of(now: Time, frame: &EndpointEnd) -> Option<EndReport> {
    let incarnation = Incarnation {
        endpoint: frame.endpoint.parse().ok()?,
        started_at: frame.born,
    };
    let at = now - Duration::from_millis(frame.age_ms);
    let casualty = |request: &EndedRequest| {
        let parts = request.parts.iter().map(|id| Some(PartId(id_of(id)?)));
        Some(Casualty {
            request: fingerprint(&request.fingerprint)?,
            parts: parts.collect::<Option<_>>()?,
            sent: at - Duration::from_millis(request.sent_ms),
            answered: Duration::from_millis(request.answered_ms),
        })
    };
    let casualties: Option<Vec<Casualty>> = frame.requests.iter().map(casualty).collect();
    Some(EndReport {
        at,
        incarnation,
        casualties: casualties?,
    })
}

/// Converts questions for answers that clear suspects to their frame.
pub(super) fn inquiry_frame(now: Time, inquiries: &[Inquiry]) -> SuspectAsk {
    let suspects = inquiries.iter();
    let suspects = suspects.map(|i| suspect_age(now, i.suspect, i.first_end));
    SuspectAsk {
        suspects: suspects.collect(),
    }
}

/// Converts a frame to questions; leaves out invalid ones.
pub(super) fn inquiries_of(now: Time, frame: &SuspectAsk) -> Vec<Inquiry> {
    let inquiries = frame.suspects.iter().filter_map(|asked| {
        let (suspect, first_end) = suspect_at(now, asked)?;
        Some(Inquiry { suspect, first_end })
    });
    inquiries.collect()
}

/// Converts clearances to their frame.
pub(super) fn clearance_frame(now: Time, clearances: &[Clearance]) -> SuspectsCleared {
    let suspects = clearances.iter();
    let suspects = suspects.map(|c| suspect_age(now, c.suspect, c.at));
    SuspectsCleared {
        suspects: suspects.collect(),
    }
}

/// Converts a frame to clearances; leaves out invalid ones.
pub(super) fn clearances_of(now: Time, frame: &SuspectsCleared) -> Vec<Clearance> {
    let clearances = frame.suspects.iter().filter_map(|cleared| {
        let (suspect, at) = suspect_at(now, cleared)?;
        Some(Clearance { suspect, at })
    });
    clearances.collect()
}

/// Converts a verdict to its frame.
pub(super) fn quarantine_frame(verdict: &Verdict) -> Quarantine {
    Quarantine {
        suspect: Some(suspect_frame(verdict.suspect)),
        version: verdict.version,
        left_ms: verdict.remaining.as_millis() as u64,
        span_ms: verdict.first_end_age.as_millis() as u64,
        trials: verdict.trials,
    }
}

/// Converts a frame to a verdict; `None` if the frame is invalid.
pub(super) fn verdict_of(frame: &Quarantine) -> Option<Verdict> {
    Some(Verdict {
        suspect: suspect_of(frame.suspect.as_ref()?)?,
        version: frame.version,
        remaining: Duration::from_millis(frame.left_ms),
        first_end_age: Duration::from_millis(frame.span_ms),
        trials: frame.trials,
    })
}

fn suspect_age(now: Time, suspect: Suspect, at: Time) -> SuspectAge {
    SuspectAge {
        suspect: Some(suspect_frame(suspect)),
        age_ms: now.since(at).as_millis() as u64,
    }
}

fn suspect_at(now: Time, frame: &SuspectAge) -> Option<(Suspect, Time)> {
    let suspect = suspect_of(frame.suspect.as_ref()?)?;
    Some((suspect, now - Duration::from_millis(frame.age_ms)))
}

fn suspect_frame(suspect: Suspect) -> snipeyoke_wire::Suspect {
    let (part, id) = match suspect {
        Suspect::Request(request) => (false, request.0),
        Suspect::Part(part) => (true, part.0),
    };
    snipeyoke_wire::Suspect {
        part,
        id: id_bytes(id),
    }
}

fn suspect_of(frame: &snipeyoke_wire::Suspect) -> Option<Suspect> {
    let id = id_of(&frame.id)?;
    Some(if frame.part {
        Suspect::Part(PartId(id))
    } else {
        Suspect::Request(Fingerprint(id))
    })
}

fn bytes_of(request: Fingerprint) -> bytes::Bytes {
    id_bytes(request.0)
}

fn fingerprint(bytes: &[u8]) -> Option<Fingerprint> {
    id_of(bytes).map(Fingerprint)
}

fn id_bytes(id: u128) -> bytes::Bytes {
    id.to_be_bytes().to_vec().into()
}

fn id_of(bytes: &[u8]) -> Option<u128> {
    let bytes = <[u8; 16]>::try_from(bytes).ok()?;
    Some(u128::from_be_bytes(bytes))
}

/// Returns a response to a placement request that names only the source.
pub(super) fn source_frame(source: Option<PrefixSource>) -> Placed {
    let Some(PrefixSource { run, tokens }) = source else {
        return Placed::default();
    };
    Placed {
        source: run.endpoint.to_string(),
        source_started_at: run.started_at,
        source_tokens: tokens,
        ..Placed::default()
    }
}

/// Returns the source that a response to a placement request names.
pub(super) fn source_of(placed: &Placed) -> Option<PrefixSource> {
    Some(PrefixSource {
        run: Incarnation {
            endpoint: placed.source.parse().ok()?,
            started_at: placed.source_started_at,
        },
        tokens: placed.source_tokens,
    })
}
