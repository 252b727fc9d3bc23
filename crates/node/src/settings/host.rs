//! The `host` section: name and availability zone of the host.

use oleanderspan::{availability, entry};
use schemars::JsonSchema;
use serde::Deserialize;

use super::Error;

/// Validated `host` section.
#[derive(Clone, Debug)]
pub struct Host {
    /// Host name, unique among the hosts of the environment.
    pub name: entry::Name,
    /// Availability zone in which the host runs.
    pub zone: availability::Name,
}

/// Name and availability zone of the host.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// Host name, unique among the hosts of the environment; a-z, 0-9 and non-leading `-`.
    pub name: String,
    /// Availability zone in which the host runs, as named in the document.
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
