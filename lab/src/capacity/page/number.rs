//! Numbers as the page writes them.

use crate::capacity::record::Estimate;

/// Digits that are written of a number under 1,000.
const DIGITS: i32 = 3;

/// The share below which there is nothing but rounding.
const ROUNDING: f64 = 1e-9;

/// A number with three digits, and with commas from 1,000 on.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return "none".into();
    }
    if value == 0.0 {
        return "0".into();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let unit = 10f64.powi(magnitude - DIGITS + 1);
    let rounded = (value / unit).round() * unit;
    if rounded.abs() >= 1_000.0 {
        return with_commas(rounded);
    }
    let decimals = (DIGITS - 1 - magnitude).max(0) as usize;
    let text = format!("{rounded:.decimals$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

/// A size or a bound: all digits of a whole number.
pub fn whole(value: f64) -> String {
    match value.is_finite() && value.fract() == 0.0 {
        true => with_commas(value),
        false => number(value),
    }
}

fn with_commas(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        format!("-{text}")
    } else {
        text
    }
}

/// A value with its interval.
pub fn interval(estimate: Estimate) -> String {
    let Estimate { value, low, high } = estimate;
    match low == high {
        true => number(value),
        false => format!("{} ({} to {})", number(value), number(low), number(high)),
    }
}

/// A share in hundredths; what is left of a computation that gives none is none.
pub fn percent(share: f64) -> String {
    if share.abs() < ROUNDING {
        return "0%".into();
    }
    format!("{}%", number(share * 100.0))
}

/// A line of a table.
pub fn line(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

/// The two first lines of a table.
pub fn head(names: &[&str]) -> String {
    let names: Vec<String> = names.iter().map(|name| name.to_string()).collect();
    let rule: Vec<String> = names.iter().map(|_| "---".to_string()).collect();
    line(&names) + &line(&rule)
}
