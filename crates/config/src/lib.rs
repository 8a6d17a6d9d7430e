//! Configuration documents that are validated as a whole: the operator's file of the gateway and the test bed's scripts.
//!
//! A [`Table`] is read key by key. Each problem is recorded with its line and key, and reading continues, so that the
//! document's [`Problems`] list everything that has to be corrected. An unknown key is a problem too.
//!
//! Times are written as text with a unit (`"250ms"`, `"2s"`, `"1.5min"`), and so are sizes (`"64KiB"`).
//!
//! ```
//! use weldworks_config::Document;
//! use std::time::Duration;
//!
//! let document = Document::parse("gateway.toml", "[limits]\nwait = \"250ms\"\nwiat = 1\n").unwrap();
//! let limits = document.root().table("limits").unwrap();
//! assert_eq!(limits.get("wait"), Some(Duration::from_millis(250)));
//! limits.finish();
//! document.root().finish();
//! let problems = document.check(()).unwrap_err();
//! assert_eq!(problems.to_string(), "gateway.toml:3: limits.wiat: unknown key; known keys: wait");
//! ```

mod document;
mod problem;
mod table;
mod value;

pub use document::Document;
pub use problem::{Problem, Problems};
pub use table::Table;
pub use value::{Bytes, Choice, FromValue, ValueError};
