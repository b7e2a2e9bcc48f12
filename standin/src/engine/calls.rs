//! Embeddings, retrieval and reranking: one slot for a time that grows with the text.

use std::time::Duration;

use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use snipeyoke_lib::prefix::token_count;

use hyper::StatusCode;

use crate::answer;
use crate::fault::Fate;
use crate::http::Answer;
use crate::http::Call;
use crate::http::Cut;
use crate::http::json_answer;
use crate::http::not_run;

use super::Engine;

/// The documents that a retrieval returns when it names no number.
const COUNT_DEFAULT: usize = 4;

#[derive(Debug, Deserialize)]
struct Embed {
    #[serde(default)]
    model: String,
    input: Input,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Input {
    One(String),
    Many(Vec<String>),
}

impl Input {
    fn texts(&self) -> &[String] {
        match self {
            Self::One(text) => std::slice::from_ref(text),
            Self::Many(texts) => texts,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Retrieve {
    embedding: Vec<f64>,
    k: Option<usize>,
}

#[derive(Debug, Deserialize)]
struct Rerank {
    query: String,
    documents: Vec<Document>,
    top_n: Option<usize>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Document {
    Bare(String),
    Named { text: String },
}

impl Document {
    fn text(&self) -> &str {
        match self {
            Self::Bare(text) | Self::Named { text } => text,
        }
    }
}

impl Engine {
    /// Turns texts into embeddings.
    pub(super) async fn embed(&self, call: &Call, fate: Fate) -> Answer {
        let asked = match call.json::<Embed>() {
            Ok(asked) => asked,
            Err(malformed) => return Ok(*malformed),
        };
        let texts = asked.input.texts();
        let tokens = texts.iter().map(|t| token_count(t)).sum();
        let data = texts.iter().enumerate().map(|(index, text)| {
            json!({"object": "embedding", "index": index, "embedding": answer::embedding(text)})
        });
        let data: Vec<Value> = data.collect();
        let usage = json!({"prompt_tokens": tokens, "total_tokens": tokens});
        let value = json!({"object": "list", "model": asked.model, "data": data, "usage": usage});
        self.slot(tokens, &value, fate).await
    }

    /// Finds the documents nearest to an embedding.
    pub(super) async fn retrieve(&self, call: &Call, fate: Fate) -> Answer {
        let asked = match call.json::<Retrieve>() {
            Ok(asked) => asked,
            Err(malformed) => return Ok(*malformed),
        };
        let count = asked.k.unwrap_or(COUNT_DEFAULT);
        let found = answer::nearest(&asked.embedding, count, self.settings.corpus);
        let documents = found.into_iter().map(|id| {
            let text = answer::document(id, self.settings.document_bytes);
            json!({"id": format!("d{id}"), "text": text})
        });
        let documents: Vec<Value> = documents.collect();
        self.slot(0, &json!({"documents": documents}), fate).await
    }

    /// Orders documents by how well they fit a query.
    pub(super) async fn rerank(&self, call: &Call, fate: Fate) -> Answer {
        let asked = match call.json::<Rerank>() {
            Ok(asked) => asked,
            Err(malformed) => return Ok(*malformed),
        };
        let texts = asked.documents.iter().map(Document::text);
        let tokens = texts.clone().map(token_count).sum();
        let mut scored: Vec<(usize, f64)> = texts
            .map(|text| answer::relevance(&asked.query, text))
            .enumerate()
            .collect();
        scored.sort_by(|a, b| b.1.total_cmp(&a.1));
        scored.truncate(asked.top_n.unwrap_or(usize::MAX));
        let results = scored
            .into_iter()
            .map(|(index, score)| json!({"index": index, "relevance_score": score}));
        let results: Vec<Value> = results.collect();
        self.slot(tokens, &json!({"results": results}), fate).await
    }

    async fn slot(&self, tokens: u32, value: &Value, fate: Fate) -> Answer {
        let micros = self.settings.call_us + f64::from(tokens) * self.settings.token_us;
        let cost = Duration::from_secs_f64(micros / 1e6);
        let Some(wait) = self.slots.submit(cost, false, Box::new(|| {})) else {
            return Ok(not_run(StatusCode::TOO_MANY_REQUESTS, "the queue is full"));
        };
        let Ok(timing) = wait.recv().await else {
            return Err(Cut);
        };
        if matches!(fate, Fate::Lose | Fate::Die) {
            return Err(Cut);
        }
        let mut answer = json_answer(value);
        let headers = answer.headers_mut();
        let micros =
            |time: Duration| HeaderValue::from(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        headers.insert("x-queue-us", micros(timing.queue));
        headers.insert("x-work-us", micros(timing.work));
        Ok(answer)
    }
}
