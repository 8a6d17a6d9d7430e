//! Lists in a stream of bytes, however it is cut: one a line, indented over several, or several in a piece.

use super::endpoint_list::EndpointList;
use serde::de::Error as _;

/// A list that is longer than this is none.
const LONGEST: usize = 4 << 20;

/// What stands there is no list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is something else.
    #[error("what came is no list: {0}; the register, or what answers in its place, has to be mended")]
    Malformed(#[from] serde_json::Error),
    /// It has no end.
    #[error("a list longer than {LONGEST} bytes")]
    TooLong,
}

/// What discovery says.
#[derive(Debug)]
pub enum WatchMessage {
    /// A list.
    List(EndpointList),
    /// An empty line: it lives, and nothing has changed.
    KeepAlive,
}

/// Takes bytes and gives what they say. Each byte is looked at once, so that a long list in many pieces costs no more than in one.
#[derive(Debug, Default)]
pub struct LineReader {
    bytes: Vec<u8>,
    /// Where the next word begins in them, and how far they have been looked at.
    start: usize,
    seen: usize,
    /// Of the list that has begun: how deep in brackets, whether in a text, and whether behind its mark of escape.
    depth: usize,
    text: bool,
    escaped: bool,
}

impl LineReader {
    /// So much more has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.seen -= std::mem::take(&mut self.start);
        self.bytes.extend_from_slice(bytes);
    }

    /// The next word, if it is whole.
    ///
    /// # Errors
    /// Where what has come is no list, or too long to be one. Nothing that follows can be told apart then.
    pub fn next_message(&mut self) -> Result<Option<WatchMessage>, ListError> {
        while let Some(&byte) = self.bytes.get(self.seen) {
            self.seen += 1;
            if self.depth == 0 {
                match byte {
                    // Blanks ahead of a list, and the end of a list's own line.
                    b' ' | b'\t' | b'\r' => {}
                    b'\n' => {
                        self.start = self.seen;
                        return Ok(Some(WatchMessage::KeepAlive));
                    }
                    b'{' => self.depth = 1,
                    _ => return Err(serde_json::Error::custom(format!("byte {byte} in place of one")).into()),
                }
                continue;
            }
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' => self.escaped = self.text,
                b'"' => self.text = !self.text,
                _ if self.text => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                let list = serde_json::from_slice(&self.bytes[self.start..self.seen])?;
                // Its line ends with it; that end says nothing more.
                if self.bytes.get(self.seen) == Some(&b'\n') {
                    self.seen += 1;
                }
                self.start = self.seen;
                return Ok(Some(WatchMessage::List(list)));
            }
        }
        if self.bytes.len() - self.start > LONGEST {
            return Err(ListError::TooLong);
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// What a whole text says, cut into pieces of these lengths by turns: the versions of its lists, and how many empty lines.
    fn said(text: &[u8], cuts: &[usize]) -> Result<(Vec<u64>, usize), ListError> {
        let (mut lists, mut rest, mut cut) = (LineReader::default(), text, cuts.iter().cycle());
        let (mut versions, mut empty) = (Vec::new(), 0);
        while !rest.is_empty() {
            let (piece, behind) = rest.split_at((*cut.next().expect("endless")).min(rest.len()));
            lists.push(piece);
            rest = behind;
            while let Some(word) = lists.next_message()? {
                match word {
                    WatchMessage::List(list) => versions.push(list.index),
                    WatchMessage::KeepAlive => empty += 1,
                }
            }
        }
        Ok((versions, empty))
    }

    const ENTRY: &str = r#"{"name":"a \\\"}]{[ \\\\","address":"127.0.0.1:1","status":"leaving"}"#;

    fn text(index: u64, how: u8) -> String {
        let value: serde_json::Value = serde_json::from_str(&format!(
            r#"{{"index":{index},"snapshot":true,"endpoints":[{ENTRY},{ENTRY}]}}"#
        ))
        .expect("a list");
        match how {
            0 => format!("{value}\n"),
            1 => format!("{value:#}\n"),
            2 => format!("  {value}\r\n"),
            _ => value.to_string(),
        }
    }

    #[test]
    fn what_is_no_list_is_told_and_has_a_bound() {
        for wrong in ["no list", "[1]\n", "3\n", "{\"index\":}\n", "{\"index\": -4}", "\u{0}", "}"] {
            let error = said(wrong.as_bytes(), &[3]).expect_err(wrong).to_string();
            assert!(error.contains("no list") && error.len() < 300, "{error}");
        }
        let endless = "{\"name\":\"".to_owned() + &"x".repeat(LONGEST + 9);
        assert!(matches!(said(endless.as_bytes(), &[4096]), Err(ListError::TooLong)));
    }

    proptest! {
        /// However the stream is cut and the lists are laid out, each is taken once, in its place.
        #[test]
        fn cuts_and_layout_change_nothing(
            hows in prop::collection::vec((0u8..4, 0usize..3), 1..6), cuts in prop::collection::vec(1usize..90, 1..12),
        ) {
            let mut whole = String::new();
            let mut lines = 0;
            for (n, (how, empty)) in hows.iter().enumerate() {
                whole += &text(n as u64, *how);
                whole += &"\n".repeat(*empty);
                lines += empty;
            }
            let (versions, empty) = said(whole.as_bytes(), &cuts).expect("lists");
            prop_assert_eq!(versions, (0..hows.len() as u64).collect::<Vec<_>>());
            // The end of a list's own line may count as a sign of life, where it comes apart from the list.
            prop_assert!(empty + hows.len() >= lines, "{} of {}", empty, lines);
        }

        /// Nothing that comes makes it panic.
        #[test]
        fn noise_is_survived(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 1usize..40) {
            let _ = said(&bytes, &[cut]);
            let _ = said(&[br#"{"index":"#.as_slice(), &bytes].concat(), &[cut]);
        }
    }
}
