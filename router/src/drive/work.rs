//! The data that passes between the stages of a request, and request bodies.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use snipeyoke_lib::config::Pool;
use snipeyoke_lib::config::Stage;
use snipeyoke_lib::config::StageRole;
use snipeyoke_lib::ids::RequestId;

/// The number of documents requested from a retrieval stage.
const RETRIEVE_COUNT: u32 = 8;

/// The number of documents kept after reranking.
const RERANK_COUNT: usize = 4;

/// The model name sent if the stage has none.
const DEFAULT_MODEL: &str = "default";

/// The path of a plain service whose pool has none.
const DEFAULT_PATH: &str = "/";

/// The error for output that does not match the role of its stage.
#[derive(Debug)]
#[derive(Display, Error)]
#[display("the endpoint's response does not fit the role {role}: check the services of the pool")]
pub(crate) struct OutputError {
    role: StageRole,
}

/// The inputs of a request and the outputs of its stages so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct PipelineData {
    /// The caller's messages in the chat completions format.
    messages: Vec<Value>,
    /// The text to embed and to search for.
    query: String,
    /// The caller's unchanged body, for plain services.
    ///
    /// Parsing and serializing would alter it: numbers change their form, and
    /// those beyond 64 bits their value.
    input: Bytes,
    max_tokens: u32,
    embedding: Option<Box<RawValue>>,
    documents: Vec<Document>,
    /// The text that the current generating stage has produced so far.
    pub(crate) text: String,
    /// The full text of the last completed generating stage.
    pub(crate) draft: String,
    /// The response body of the last plain service.
    pub(crate) output: Option<Bytes>,
}

/// The parsed and validated output of a stage.
#[derive(Debug)]
pub(crate) enum StageOutput {
    Embedding(Box<RawValue>),
    Documents(Vec<Document>),
    /// The text was already delivered in chunks.
    Text,
    Output(Bytes),
}

/// A document found by a retrieval stage.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub(crate) struct Document {
    text: String,
}

#[derive(Deserialize)]
struct Embeddings {
    data: Vec<Embedding>,
}

#[derive(Deserialize)]
struct Embedding {
    embedding: Box<RawValue>,
}

#[derive(Deserialize)]
struct Documents {
    documents: Vec<Document>,
}

#[derive(Deserialize)]
struct Ranking {
    results: Vec<Ranked>,
}

#[derive(Deserialize)]
struct Ranked {
    index: usize,
}

impl PipelineData {
    /// Creates the data from the caller's request.
    pub(crate) fn new(messages: Vec<Value>, query: String, input: Bytes, max_tokens: u32) -> Self {
        Self {
            messages,
            query,
            input,
            max_tokens,
            ..Self::default()
        }
    }

    /// Builds the path and body of the request to a stage.
    pub(crate) fn build_request(
        &self,
        id: RequestId,
        stage: &Stage,
        pool: &Pool,
        priority: u8,
        resume: u32,
    ) -> (String, Bytes) {
        let model = stage.model.as_ref().map_or(DEFAULT_MODEL, |m| m.as_str());
        let (path, body) = match stage.role {
            StageRole::Encode => (
                "/v1/embeddings",
                json!({"model": model, "input": self.query}),
            ),
            StageRole::Retrieve => (
                "/v1/retrieve",
                json!({"embedding": self.embedding, "k": RETRIEVE_COUNT}),
            ),
            StageRole::Rerank => ("/v1/rerank", self.rerank_body(model)),
            StageRole::Generate => (
                "/v1/chat/completions",
                self.generate_body(id, model, priority, resume),
            ),
            StageRole::Call => {
                let path = pool.path.as_deref().unwrap_or(DEFAULT_PATH);
                return (path.to_owned(), self.call_body());
            }
        };
        (path.to_owned(), Bytes::from(body.to_string()))
    }

    fn rerank_body(&self, model: &str) -> Value {
        let texts: Vec<&str> = self.documents.iter().map(|d| d.text.as_str()).collect();
        json!({"model": model, "query": self.query, "documents": texts, "top_n": RERANK_COUNT})
    }

    fn generate_body(&self, id: RequestId, model: &str, priority: u8, resume: u32) -> Value {
        json!({
            "model": model,
            "messages": self.prompt(),
            "max_tokens": self.max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
            "priority": priority,
            "resume_from": resume,
            "request_id": id.to_string(),
        })
    }

    /// Returns the messages with the context of earlier stages before the last.
    ///
    /// The messages before the context stay a common prefix of requests, which
    /// engines have cached.
    fn prompt(&self) -> Vec<Value> {
        let mut context: Vec<&str> = self.documents.iter().map(|d| d.text.as_str()).collect();
        if !self.draft.is_empty() {
            context.push(&self.draft);
        }
        let mut messages = self.messages.clone();
        if !context.is_empty() {
            let at = messages.len().saturating_sub(1);
            messages.insert(at, json!({"role": "system", "content": context.join("\n")}));
        }
        messages
    }

    fn call_body(&self) -> Bytes {
        let input = serde_json::from_slice::<&RawValue>(&self.input);
        match input {
            Ok(input) if !self.draft.is_empty() => {
                let text = &self.draft;
                Bytes::from(json!({"input": input, "text": text}).to_string())
            }
            _ => self.input.clone(),
        }
    }

    /// Parses the output of a stage without applying it.
    ///
    /// # Errors
    ///
    /// Returns [`OutputError`] if the output lacks a field that the role requires.
    pub(crate) fn parse_output(
        &self,
        role: StageRole,
        body: &Bytes,
    ) -> Result<StageOutput, OutputError> {
        let output_error = || OutputError { role };
        match role {
            StageRole::Encode => {
                let output: Embeddings = parse(body).ok_or_else(output_error)?;
                let first = output.data.into_iter().next().ok_or_else(output_error)?;
                Ok(StageOutput::Embedding(first.embedding))
            }
            StageRole::Retrieve => {
                let output: Documents = parse(body).ok_or_else(output_error)?;
                Ok(StageOutput::Documents(output.documents))
            }
            StageRole::Rerank => {
                let output: Ranking = parse(body).ok_or_else(output_error)?;
                self.reranked(&output)
                    .map(StageOutput::Documents)
                    .ok_or_else(output_error)
            }
            StageRole::Generate => Ok(StageOutput::Text),
            StageRole::Call => {
                let _checked: Value = parse(body).ok_or_else(output_error)?;
                Ok(StageOutput::Output(body.clone()))
            }
        }
    }

    /// Applies the output of a completed stage.
    pub(crate) fn apply(&mut self, taken: StageOutput) {
        match taken {
            StageOutput::Embedding(embedding) => self.embedding = Some(embedding),
            StageOutput::Documents(documents) => self.documents = documents,
            StageOutput::Text => self.draft = std::mem::take(&mut self.text),
            StageOutput::Output(output) => self.output = Some(output),
        }
    }

    fn reranked(&self, ranking: &Ranking) -> Option<Vec<Document>> {
        let best = ranking.results.iter().take(RERANK_COUNT);
        best.map(|r| self.documents.get(r.index).cloned()).collect()
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body).ok()
}
