//! Errors in the simulator's input.

/// Error in a line of input, with its position.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// The line is not a batch.
    #[error("input line {line}: not a batch: {source}")]
    Malformed {
        /// The line, counted from 1.
        line: u64,
        /// The parser's error.
        #[source]
        source: serde_json::Error,
    },
    /// A batch holds an event that cannot be handled.
    #[error("batch {batch}: {source}")]
    InvalidEvent {
        /// The number of the batch.
        batch: u64,
        /// The error in the event.
        #[source]
        source: EventError,
    },
}

/// Error in an event. Events and fields have their names on the wire.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// A field that this kind of event must have is absent.
    #[error("{event} without {field}")]
    MissingField {
        /// The kind of event.
        event: String,
        /// The field.
        field: &'static str,
    },
    /// The settings of a starting instance are not valid.
    #[error("settings: {0}")]
    Settings(#[from] serde_json::Error),
    /// The instance has not started or has ended.
    #[error("{event} for unknown instance {instance}")]
    UnknownInstance {
        /// The kind of event.
        event: String,
        /// The number of the instance.
        instance: u64,
    },
    /// No endpoint list has this number.
    #[error("unknown list {0}")]
    UnknownList(u64),
    /// An endpoint list has an unknown mode, or none.
    #[error("{event} with unknown mode {mode:?}")]
    UnknownListMode {
        /// The kind of event.
        event: String,
        /// The mode.
        mode: Option<String>,
    },
    /// An attempt or a health check ended with an unknown outcome.
    #[error("{event} with unknown outcome {outcome:?}")]
    UnknownOutcome {
        /// The kind of event.
        event: String,
        /// The outcome.
        outcome: String,
    },
    /// The kind of event is unknown.
    #[error("unknown event {0:?}")]
    UnknownEvent(String),
}
