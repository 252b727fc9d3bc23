//! The clocks and the random numbers of the machine.

use std::time::{SystemTime, UNIX_EPOCH};

use oleanderspan::{entry::membership::Random, prelude::*};

/// The monotonic clock, counted from when it was made.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    origin: std::time::Instant,
}

impl Monotonic {
    /// A clock whose origin is now.
    pub fn start() -> Monotonic {
        Monotonic { origin: std::time::Instant::now() }
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }
}

/// Milliseconds of the wall clock since the epoch.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// A time of the wall clock as people write it, in UTC.
pub fn format_utc(millis: u64) -> String {
    let (seconds, millis) = (millis / 1_000, millis % 1_000);
    let (days, second) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil_from_days(days);
    let (hour, minute) = (second / 3_600, second / 60 % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}.{millis:03}Z", second % 60)
}

/// The date `days` after the first of January 1970, in the Gregorian calendar.
const fn civil_from_days(days: u64) -> (u64, u64, u64) {
    // Years begin in March here, so that the leap day is the last one.
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

/// The random numbers of the thread.
#[derive(Clone, Copy, Debug)]
pub struct ThreadRandom;

impl Random for ThreadRandom {
    fn below(&mut self, bound: usize) -> usize {
        rand::random_range(0..bound)
    }
}
