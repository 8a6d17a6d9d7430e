//! What a value of a file may be read as.

use std::net::SocketAddr;
use std::time::Duration;
use toml::de::DeValue;

/// What a value can be read as.
pub trait FromValue: Sized {
    /// What is expected, with an example.
    const EXPECTED: &'static str;

    /// Reads the value.
    ///
    /// # Errors
    /// What is wrong with it, and what would be right.
    fn from_value(value: &DeValue<'_>) -> Result<Self, String>;
}

/// A choice among words; for enumerations.
pub trait Named: Copy + 'static {
    /// Every word with what it stands for.
    const WORDS: &'static [(&'static str, Self)];
}

impl<T: Named> FromValue for T {
    const EXPECTED: &'static str = "one of the words on the page";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let word = value.as_str().unwrap_or_default();
        T::WORDS.iter().find(|(w, _)| *w == word).map(|(_, choice)| *choice).ok_or_else(|| {
            let words: Vec<_> = T::WORDS.iter().map(|(w, _)| format!("{w:?}")).collect();
            format!("{} is to be one of {}", shown(value), words.join(", "))
        })
    }
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

/// The value as it stands in the file, cut short where it is long.
fn shown(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) if text.chars().count() > 40 => {
            format!("{:?}...", text.chars().take(40).collect::<String>())
        }
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        other => format!("a value of type {}", other.type_str()),
    }
}

fn expected<T: FromValue>(value: &DeValue<'_>) -> String {
    format!("{} is not {}", shown(value), T::EXPECTED)
}

impl FromValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        value.as_bool().ok_or_else(|| expected::<Self>(value))
    }
}

impl FromValue for String {
    const EXPECTED: &'static str = "text in quotes";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        value.as_str().map(str::to_owned).ok_or_else(|| expected::<Self>(value))
    }
}

impl FromValue for u64 {
    const EXPECTED: &'static str = "a whole number from 0 on";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let number = value.as_integer().and_then(|n| u64::from_str_radix(n.as_str(), n.radix()).ok());
        number.ok_or_else(|| expected::<Self>(value))
    }
}

impl FromValue for f64 {
    const EXPECTED: &'static str = "a number";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let number = match value {
            DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
            DeValue::Float(n) => n.as_str().parse().ok(),
            _ => None,
        };
        number.filter(|n: &f64| n.is_finite()).ok_or_else(|| expected::<Self>(value))
    }
}

/// Splits a number from its unit.
fn measure(text: &str) -> Option<(f64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = text[..end].parse().ok()?;
    number.is_finite().then(|| (number, text[end..].trim()))
}

impl FromValue for Duration {
    const EXPECTED: &'static str = "a time such as \"250ms\", \"2s\" or \"1.5min\"";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let wrong = || expected::<Self>(value);
        let (number, unit) = value.as_str().and_then(measure).ok_or_else(wrong)?;
        let unit = match unit {
            "us" => 1e-6,
            "ms" => 1e-3,
            "s" => 1.0,
            "min" => 60.0,
            "h" => 3600.0,
            "d" => 86_400.0,
            _ => return Err(wrong()),
        };
        Duration::try_from_secs_f64(number * unit).map_err(|_| wrong())
    }
}

impl FromValue for Bytes {
    const EXPECTED: &'static str = "a size such as \"512B\", \"64KiB\" or \"2MiB\"";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let wrong = || expected::<Self>(value);
        let (number, unit) = value.as_str().and_then(measure).ok_or_else(wrong)?;
        let unit: u64 = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => return Err(wrong()),
        };
        let bytes = number * unit as f64;
        if bytes > u64::MAX as f64 / 2.0 {
            return Err(wrong());
        }
        Ok(Bytes(bytes.round() as u64))
    }
}

impl FromValue for SocketAddr {
    const EXPECTED: &'static str = "an address and a port such as \"127.0.0.1:7070\"";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        value.as_str().and_then(|text| text.parse().ok()).ok_or_else(|| expected::<Self>(value))
    }
}

impl<T: FromValue> FromValue for Vec<T> {
    const EXPECTED: &'static str = "a list in brackets";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let array = value.as_array().ok_or_else(|| expected::<Self>(value))?;
        array.iter().map(|entry| T::from_value(entry.get_ref())).collect()
    }
}

/// A range that is written as one number or as `[least, most]`.
impl FromValue for (f64, f64) {
    const EXPECTED: &'static str = "a number, or two as in [0.8, 1.2]";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        if value.as_array().is_none() {
            return f64::from_value(value).map(|n| (n, n)).map_err(|_| expected::<Self>(value));
        }
        match Vec::<f64>::from_value(value)?[..] {
            [least, most] if least <= most => Ok((least, most)),
            _ => Err(format!("{} is not {}, the lesser one first", shown(value), Self::EXPECTED)),
        }
    }
}

/// A range of times, likewise.
impl FromValue for (Duration, Duration) {
    const EXPECTED: &'static str = "a time, or two as in [\"10ms\", \"80ms\"]";

    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        if value.as_array().is_none() {
            return Duration::from_value(value).map(|t| (t, t)).map_err(|_| expected::<Self>(value));
        }
        match Vec::<Duration>::from_value(value)?[..] {
            [least, most] if least <= most => Ok((least, most)),
            _ => Err(format!("{} is not {}, the lesser one first", shown(value), Self::EXPECTED)),
        }
    }
}
