//! Types as which the values of a document can be read.

use std::net::SocketAddr;
use std::time::Duration;
use toml::de::DeValue;

/// Reason why a value can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// The value has another type or format.
    #[error("{found} is not {expected}")]
    Unexpected {
        /// The value as written in the document.
        found: String,
        /// Description of the expected value, with an example.
        expected: &'static str,
    },
    /// The value is not one of the names that the key accepts.
    #[error("{found} must be one of {}", quoted_list(.choices))]
    UnknownChoice {
        /// The value as written in the document.
        found: String,
        /// The names that the key accepts.
        choices: Vec<&'static str>,
    },
    /// The value is not a range, or the greater end of the range comes first.
    #[error("{found} is not {expected}, the lesser value first")]
    InvalidRange {
        /// The value as written in the document.
        found: String,
        /// Description of the expected value, with an example.
        expected: &'static str,
    },
}

impl ValueError {
    fn unexpected<T: FromValue>(value: &DeValue<'_>) -> ValueError {
        ValueError::Unexpected { found: display_value(value), expected: T::EXPECTED }
    }
}

fn quoted_list(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("{name:?}")).collect();
    quoted.join(", ")
}

/// Number of characters after which a text is truncated in messages.
const MAX_DISPLAYED_CHARS: usize = 40;

/// The value as written in the document; a long text is truncated.
fn display_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) if text.chars().count() > MAX_DISPLAYED_CHARS => {
            let start: String = text.chars().take(MAX_DISPLAYED_CHARS).collect();
            format!("{start:?}...")
        }
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        other => format!("a value of type {}", other.type_str()),
    }
}

/// A type as which a value of a document can be read.
pub trait FromValue: Sized {
    /// Description of the expected value, with an example.
    const EXPECTED: &'static str;

    /// Reads a value of a document as this type.
    ///
    /// # Errors
    /// The value has another type or format, or is out of range.
    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError>;
}

/// An enumeration whose values have names in documents.
pub trait Choice: Copy + 'static {
    /// Each name in documents, with the value that it stands for.
    const CHOICES: &'static [(&'static str, Self)];
}

impl<T: Choice> FromValue for T {
    const EXPECTED: &'static str = "one of the documented names";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        let name = value.as_str().unwrap_or_default();
        match T::CHOICES.iter().find(|(choice, _)| *choice == name) {
            Some((_, value)) => Ok(*value),
            None => Err(ValueError::UnknownChoice {
                found: display_value(value),
                choices: T::CHOICES.iter().map(|(choice, _)| *choice).collect(),
            }),
        }
    }
}

impl FromValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        value.as_bool().ok_or_else(|| ValueError::unexpected::<Self>(value))
    }
}

impl FromValue for String {
    const EXPECTED: &'static str = "text in quotes";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        value.as_str().map(str::to_owned).ok_or_else(|| ValueError::unexpected::<Self>(value))
    }
}

impl FromValue for u64 {
    const EXPECTED: &'static str = "a whole number, 0 or more";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        let integer = value.as_integer();
        let number = integer.and_then(|integer| u64::from_str_radix(integer.as_str(), integer.radix()).ok());
        number.ok_or_else(|| ValueError::unexpected::<Self>(value))
    }
}

impl FromValue for f64 {
    const EXPECTED: &'static str = "a number";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        let number: Option<f64> = match value {
            DeValue::Integer(integer) => {
                i64::from_str_radix(integer.as_str(), integer.radix()).ok().map(|number| number as f64)
            }
            DeValue::Float(float) => float.as_str().parse().ok(),
            _ => None,
        };
        number.filter(|number| number.is_finite()).ok_or_else(|| ValueError::unexpected::<Self>(value))
    }
}

/// A number with its unit, as in `"1.5min"`.
struct Measure<'a> {
    number: f64,
    unit: &'a str,
}

impl<'a> Measure<'a> {
    fn parse(text: &'a str) -> Option<Measure<'a>> {
        let unit_start = text.find(|character: char| !character.is_ascii_digit() && character != '.')?;
        let number: f64 = text[..unit_start].parse().ok()?;
        number.is_finite().then(|| Measure { number, unit: text[unit_start..].trim() })
    }
}

/// Length of a unit of time, in seconds; `None` for an unknown unit.
fn time_unit_s(unit: &str) -> Option<f64> {
    match unit {
        "us" => Some(1e-6),
        "ms" => Some(1e-3),
        "s" => Some(1.0),
        "min" => Some(60.0),
        "h" => Some(3600.0),
        "d" => Some(86_400.0),
        _ => None,
    }
}

impl FromValue for Duration {
    const EXPECTED: &'static str = "a time such as \"250ms\", \"2s\" or \"1.5min\"";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        let parse = || {
            let measure = Measure::parse(value.as_str()?)?;
            Duration::try_from_secs_f64(measure.number * time_unit_s(measure.unit)?).ok()
        };
        parse().ok_or_else(|| ValueError::unexpected::<Self>(value))
    }
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

/// Largest size that can be read, in bytes: half of the largest
/// `u64`, so that the rounded product of number and unit always fits.
const MAX_BYTES: f64 = u64::MAX as f64 / 2.0;

/// Size of a unit of data, in bytes; `None` for an unknown unit.
fn size_unit_bytes(unit: &str) -> Option<u64> {
    match unit {
        "B" => Some(1),
        "KiB" => Some(1 << 10),
        "MiB" => Some(1 << 20),
        "GiB" => Some(1 << 30),
        _ => None,
    }
}

impl FromValue for Bytes {
    const EXPECTED: &'static str = "a size such as \"512B\", \"64KiB\" or \"2MiB\"";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        let parse = || {
            let measure = Measure::parse(value.as_str()?)?;
            let bytes = measure.number * size_unit_bytes(measure.unit)? as f64;
            (bytes <= MAX_BYTES).then_some(Bytes(bytes.round() as u64))
        };
        parse().ok_or_else(|| ValueError::unexpected::<Self>(value))
    }
}

impl FromValue for SocketAddr {
    const EXPECTED: &'static str = "an address and a port such as \"127.0.0.1:7070\"";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        let address = value.as_str().and_then(|text| text.parse().ok());
        address.ok_or_else(|| ValueError::unexpected::<Self>(value))
    }
}

impl<T: FromValue> FromValue for Vec<T> {
    const EXPECTED: &'static str = "a list in brackets";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        let array = value.as_array().ok_or_else(|| ValueError::unexpected::<Self>(value))?;
        array.iter().map(|entry| T::from_value(entry.get_ref())).collect()
    }
}

/// Reads a range that is written as one value or as `[least, greatest]`.
fn range_from_value<T>(value: &DeValue<'_>) -> Result<(T, T), ValueError>
where
    T: FromValue + PartialOrd + Copy,
    (T, T): FromValue,
{
    if value.as_array().is_none() {
        let single = T::from_value(value).map_err(|_| ValueError::unexpected::<(T, T)>(value))?;
        return Ok((single, single));
    }
    match Vec::<T>::from_value(value)?[..] {
        [least, greatest] if least <= greatest => Ok((least, greatest)),
        _ => Err(ValueError::InvalidRange {
            found: display_value(value),
            expected: <(T, T) as FromValue>::EXPECTED,
        }),
    }
}

/// A range of numbers: least and greatest.
impl FromValue for (f64, f64) {
    const EXPECTED: &'static str = "a number, or two as in [0.8, 1.2]";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        range_from_value(value)
    }
}

/// A range of times: least and greatest.
impl FromValue for (Duration, Duration) {
    const EXPECTED: &'static str = "a time, or two as in [\"10ms\", \"80ms\"]";

    fn from_value(value: &DeValue<'_>) -> Result<Self, ValueError> {
        range_from_value(value)
    }
}
