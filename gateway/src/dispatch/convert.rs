//! Conversions between dispatcher types and wire frames.

use std::sync::Arc;
use std::time::Duration;

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::StageInput;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::homes::Homes;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;
use snipeyoke_wire::EndpointEnd;
use snipeyoke_wire::KeyedRecord;
use snipeyoke_wire::PieceJob;
use snipeyoke_wire::PieceJobEnd;
use snipeyoke_wire::Quarantine;

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
pub(super) fn job_end_frame(result: &JobResult) -> PieceJobEnd {
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
    }
}

/// Converts a frame to a job's outcome; omits results whose endpoint is invalid.
pub(super) fn job_result_of(frame: PieceJobEnd) -> JobResult {
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
    }
}

/// Converts a record to its frame.
pub(super) fn record_frame(record: Record) -> KeyedRecord {
    KeyedRecord {
        key: record.key,
        value: record.value.map(|v| v.to_vec().into()),
        offset: record.offset.0,
    }
}

/// Converts a frame to a record.
pub(super) fn record_of(frame: KeyedRecord) -> Record {
    Record {
        key: frame.key,
        value: frame.value.map(|v| Arc::from(v.as_ref())),
        offset: Offset(frame.offset),
    }
}

/// Converts the crash of an endpoint under a request to its frame.
pub(super) fn endpoint_end_frame(
    request: Fingerprint,
    incarnation: &Incarnation,
    age: Duration,
) -> EndpointEnd {
    EndpointEnd {
        request: bytes_of(request),
        endpoint: incarnation.endpoint.to_string(),
        born: incarnation.started_at,
        age_ms: age.as_millis() as u64,
    }
}

/// Converts a frame to a request, the endpoint that crashed, and the crash's
/// age; `None` if the frame is invalid.
pub(super) fn endpoint_end_of(frame: &EndpointEnd) -> Option<(Fingerprint, Incarnation, Duration)> {
    let incarnation = Incarnation {
        endpoint: frame.endpoint.parse().ok()?,
        started_at: frame.born,
    };
    let age = Duration::from_millis(frame.age_ms);
    Some((fingerprint(&frame.request)?, incarnation, age))
}

/// Converts a verdict on a request to its frame.
pub(super) fn quarantine_frame(verdict: &Verdict) -> Quarantine {
    Quarantine {
        request: bytes_of(verdict.request),
        version: verdict.version,
        left_ms: verdict.remaining.as_millis() as u64,
        span_ms: verdict.first_end_age.as_millis() as u64,
    }
}

/// Converts a frame to a verdict on a request; `None` if the frame is invalid.
pub(super) fn verdict_of(frame: &Quarantine) -> Option<Verdict> {
    Some(Verdict {
        request: fingerprint(&frame.request)?,
        version: frame.version,
        remaining: Duration::from_millis(frame.left_ms),
        first_end_age: Duration::from_millis(frame.span_ms),
    })
}

fn bytes_of(request: Fingerprint) -> bytes::Bytes {
    request.0.to_be_bytes().to_vec().into()
}

fn fingerprint(bytes: &[u8]) -> Option<Fingerprint> {
    let bytes = <[u8; 16]>::try_from(bytes).ok()?;
    Some(Fingerprint(u128::from_be_bytes(bytes)))
}
