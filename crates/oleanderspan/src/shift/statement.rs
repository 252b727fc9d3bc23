//! Shares as exchanged between hosts: keyed by name, since the hosts' documents may differ.

use crate::{document::ValidatedDocument, region, service, shift::Vector};

value! {
    /// All shares in force on a host.
    pub struct Statement {
        /// Region of the host.
        pub region: region::Name,
        /// Shares by service.
        pub services: Vec<ServiceStatement>,
    }

    /// The shares of one service in force on a host.
    pub struct ServiceStatement {
        /// Name of the service.
        pub service: service::Name,
        /// Shares by the region of the caller.
        pub vectors: Vec<OriginStatement>,
    }

    /// The shares for callers of one region; regions with a share of 0 are omitted.
    pub struct OriginStatement {
        /// Region of the callers.
        pub origin: region::Name,
        /// Shares by destination region.
        pub shares: Vec<Share>,
    }

    /// The share of one destination region.
    pub struct Share {
        /// Name of the region.
        pub region: region::Name,
        /// Parts per million of all requests of the callers.
        pub ppm: u32,
    }
}

impl Statement {
    /// The shares of `service`, or `None` if the host has none.
    pub fn service(&self, service: &service::Name) -> Option<&ServiceStatement> {
        self.services.iter().find(|stated| stated.service == *service)
    }
}

impl ServiceStatement {
    /// Converts `vectors`, indexed in the order of `regions`, to names.
    pub fn new<'a>(
        service: &service::Name,
        regions: &[region::Name],
        vectors: impl Iterator<Item = &'a Vector>,
    ) -> ServiceStatement {
        let name = |(origin, vector): (&region::Name, &Vector)| {
            let shares = regions.iter().zip(vector.shares()).filter(|(_, ppm)| **ppm > 0);
            let shares = shares.map(|(region, ppm)| Share { region: region.clone(), ppm: *ppm });
            OriginStatement { origin: origin.clone(), shares: shares.collect() }
        };
        ServiceStatement {
            service: service.clone(),
            vectors: regions.iter().zip(vectors).map(name).collect(),
        }
    }

    /// Converts the shares to vectors indexed by the regions of `document`.
    ///
    /// Requests of the share of a region that is not in `document` are refused. Callers of a region
    /// without shares in this statement get the routes of `service`.
    pub fn vectors(&self, document: &ValidatedDocument, service: &service::Service) -> Vec<Vector> {
        let pairs = document.regions.iter().zip(&service.routes);
        let vectors = pairs.map(|(origin, route)| {
            let statement = self.vectors.iter().find(|statement| statement.origin == origin.name);
            statement
                .and_then(|statement| statement.vector(document))
                .unwrap_or_else(|| route.clone())
        });
        vectors.collect()
    }
}

impl OriginStatement {
    fn vector(&self, document: &ValidatedDocument) -> Option<Vector> {
        let mut ppm = vec![0; document.regions.len()];
        for share in &self.shares {
            if let Some(region) = region::find(&document.regions, share.region.as_str()) {
                ppm[usize::from(region.0)] = share.ppm;
            }
        }
        Vector::partial(ppm).ok()
    }
}
