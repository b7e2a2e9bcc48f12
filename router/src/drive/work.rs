//! What a request carries from stage to stage, and the bodies made of it.

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

/// The documents that a retrieval asks for.
const RETRIEVE_COUNT: u32 = 8;

/// The documents that are kept after reranking.
const RERANK_COUNT: usize = 4;

/// The model name sent where a stage names none.
const DEFAULT_MODEL: &str = "default";

/// The path of a plain service whose pool names none.
const DEFAULT_PATH: &str = "/";

/// An endpoint's answer that is not what its role promises.
#[derive(Debug)]
#[derive(Display, Error)]
#[display("the endpoint's answer is not that of its role {role}: check what the pool serves")]
pub(crate) struct OutputError {
    role: StageRole,
}

/// A request's inputs and what its stages have added.
#[derive(Debug, Clone, Default)]
pub(crate) struct PipelineData {
    /// The caller's messages, in the chat dialect.
    messages: Vec<Value>,
    /// The text that is embedded and searched with.
    query: String,
    /// The caller's body as it came, for plain services.
    ///
    /// Parsed and written again it would not be the same: numbers change their
    /// form, and those beyond 64 bits their value.
    input: Bytes,
    max_tokens: u32,
    embedding: Option<Box<RawValue>>,
    documents: Vec<Document>,
    /// Text that the generating stage at work has given so far.
    pub(crate) text: String,
    /// The whole text of the last generating stage that is done.
    pub(crate) draft: String,
    /// The answer of the last plain service.
    pub(crate) output: Option<Bytes>,
}

/// A stage's answer, read and checked.
#[derive(Debug)]
pub(crate) enum StageOutput {
    Embedding(Box<RawValue>),
    Documents(Vec<Document>),
    /// The text has been delivered piece by piece.
    Text,
    Output(Bytes),
}

/// A document that a retrieval found.
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
    /// Starts with what the caller sent.
    pub(crate) fn new(messages: Vec<Value>, query: String, input: Bytes, max_tokens: u32) -> Self {
        Self {
            messages,
            query,
            input,
            max_tokens,
            ..Self::default()
        }
    }

    /// Builds the path and body for a stage.
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

    /// Returns the messages with what earlier stages added, before the last one.
    ///
    /// What comes before it is shared between requests and stays a common
    /// prefix that engines have cached.
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

    /// Reads the whole answer of a stage, taking nothing in yet.
    ///
    /// # Errors
    ///
    /// Returns [`OutputError`] if the answer lacks what the role promises.
    pub(crate) fn parse_output(
        &self,
        role: StageRole,
        body: &Bytes,
    ) -> Result<StageOutput, OutputError> {
        let wrong = || OutputError { role };
        match role {
            StageRole::Encode => {
                let output: Embeddings = parse(body).ok_or_else(wrong)?;
                let first = output.data.into_iter().next().ok_or_else(wrong)?;
                Ok(StageOutput::Embedding(first.embedding))
            }
            StageRole::Retrieve => {
                let output: Documents = parse(body).ok_or_else(wrong)?;
                Ok(StageOutput::Documents(output.documents))
            }
            StageRole::Rerank => {
                let output: Ranking = parse(body).ok_or_else(wrong)?;
                self.reranked(&output)
                    .map(StageOutput::Documents)
                    .ok_or_else(wrong)
            }
            StageRole::Generate => Ok(StageOutput::Text),
            StageRole::Call => {
                let _checked: Value = parse(body).ok_or_else(wrong)?;
                Ok(StageOutput::Output(body.clone()))
            }
        }
    }

    /// Takes in the answer of a stage that is done.
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
