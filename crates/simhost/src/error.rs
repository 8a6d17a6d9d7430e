//! Errors in the input from the simulator.

/// Error in a line of input, with the position of the line.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// The line of input is not a batch of events.
    #[error("input line {line}: not a batch: {source}")]
    Malformed {
        /// The number of the input line, counted from 1.
        line: u64,
        /// The error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
    /// A batch holds an event that cannot be handled.
    #[error("batch {batch}: {source}")]
    InvalidEvent {
        /// The number of the batch.
        batch: u64,
        /// The error in the event that cannot be handled.
        #[source]
        source: EventError,
    },
}

/// Error in an event. Messages call kinds of events and fields by their names on the wire.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// A field that this kind of event must have is absent.
    #[error("{event} without {field}")]
    MissingField {
        /// The kind of event that lacks the field.
        event: String,
        /// The name of the absent field.
        field: &'static str,
    },
    /// The settings of a starting instance are not valid.
    #[error("settings: {0}")]
    Settings(#[from] serde_json::Error),
    /// The instance that an event names has not started or has ended.
    #[error("{event} for unknown instance {instance}")]
    UnknownInstance {
        /// The kind of event that names the instance.
        event: String,
        /// The number of the unknown instance.
        instance: u64,
    },
    /// No endpoint list has the number that an event names.
    #[error("unknown list {0}")]
    UnknownList(u64),
    /// An endpoint list has an unknown mode, or none.
    #[error("{event} with unknown mode {mode:?}")]
    UnknownListMode {
        /// The kind of event that has the mode.
        event: String,
        /// The unknown mode; `None` if the event has no mode.
        mode: Option<String>,
    },
    /// An attempt or a health check ended with an unknown outcome.
    #[error("{event} with unknown outcome {outcome:?}")]
    UnknownOutcome {
        /// The kind of event that has the outcome.
        event: String,
        /// The unknown outcome.
        outcome: String,
    },
    /// The kind of event is unknown.
    #[error("unknown event {0:?}")]
    UnknownEvent(String),
}
