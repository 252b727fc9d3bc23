//! Monotonic clock, wall clock and random numbers of the operating system.

use std::time::{SystemTime, UNIX_EPOCH};

use oleanderspan::{entry::membership::Random, prelude::*};

/// Monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    origin: std::time::Instant,
}

impl Monotonic {
    /// Creates a clock that reads zero now.
    pub fn start() -> Monotonic {
        Monotonic { origin: std::time::Instant::now() }
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Formats milliseconds since the Unix epoch as RFC 3339 in UTC.
pub fn format_utc(millis: u64) -> String {
    let (seconds, millis) = (millis / 1_000, millis % 1_000);
    let (days, second) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil_from_days(days);
    let (hour, minute) = (second / 3_600, second / 60 % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}.{millis:03}Z", second % 60)
}

/// Gregorian date (year, month, day) that lies `days` after 1970-01-01.
const fn civil_from_days(days: u64) -> (u64, u64, u64) {
    // Years are counted from March so that a leap day is the last day of its year.
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400;
    (if month <= 2 { year + 1 } else { year }, month, day)
}

/// Random numbers from the thread-local generator.
#[derive(Clone, Copy, Debug)]
pub struct ThreadRandom;

impl Random for ThreadRandom {
    fn below(&mut self, bound: usize) -> usize {
        rand::random_range(0..bound)
    }
}
