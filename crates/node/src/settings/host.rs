//! The `host` section: who and where the host is.

use oleanderspan::{availability, entry};
use schemars::JsonSchema;
use serde::Deserialize;

use super::Error;

/// Checked `host` section.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host's name, unique among hosts.
    pub name: entry::Name,
    /// The availability zone that it is in.
    pub zone: availability::Name,
}

/// The `host` section as it is written.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The host's name, unique among hosts.
    pub name: String,
    /// The availability zone that it is in.
    pub zone: String,
}

impl TryFrom<Raw> for Host {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Host, Error> {
        let name = entry::Name::try_from(raw.name.as_str());
        let zone = availability::Name::try_from(raw.zone.as_str());
        match (name, zone) {
            (Ok(name), Ok(zone)) => Ok(Host { name, zone }),
            (name, zone) => {
                let name = name.err().map(|error| Error::new("host.name", error));
                let zone = zone.err().map(|error| Error::new("host.zone", error));
                let errors = name.into_iter().chain(zone);
                Err(Error { faults: errors.flat_map(|error| error.faults).collect() })
            }
        }
    }
}
