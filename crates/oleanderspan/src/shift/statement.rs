//! Shares as hosts tell them to each other: by name, since their documents may differ.

use crate::{document::Draft, region, service, shift::Vector};

value! {
    /// All shares that a host has in force.
    pub struct Statement {
        /// The region of the host.
        pub region: region::Name,
        /// Its shares by service.
        pub services: Vec<ServiceStatement>,
    }

    /// The shares of one service.
    pub struct ServiceStatement {
        /// The service.
        pub service: service::Name,
        /// Its shares by the region of the caller.
        pub vectors: Vec<OriginStatement>,
    }

    /// The shares of the callers of one region; regions without a share are left out.
    pub struct OriginStatement {
        /// The region of the callers.
        pub origin: region::Name,
        /// Where their requests go.
        pub shares: Vec<Share>,
    }

    /// The share of one region.
    pub struct Share {
        /// The region.
        pub region: region::Name,
        /// Its share, in parts per million.
        pub ppm: u32,
    }
}

impl Statement {
    /// The shares of a service.
    pub fn service(&self, service: &service::Name) -> Option<&ServiceStatement> {
        self.services.iter().find(|stated| stated.service == *service)
    }
}

impl ServiceStatement {
    /// Names the regions of `vectors`, which are in the order of `regions`.
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

    /// The vectors by the regions of `draft`.
    ///
    /// The share of a region that is not there goes to no region. Callers of a region that has
    /// no shares here start with their routes.
    pub fn vectors(&self, draft: &Draft, service: &service::Service) -> Vec<Vector> {
        let pairs = draft.regions.iter().zip(&service.routes);
        let vectors = pairs.map(|(origin, route)| {
            let named = self.vectors.iter().find(|named| named.origin == origin.name);
            named.and_then(|named| named.vector(draft)).unwrap_or_else(|| route.clone())
        });
        vectors.collect()
    }
}

impl OriginStatement {
    fn vector(&self, draft: &Draft) -> Option<Vector> {
        let mut ppm = vec![0; draft.regions.len()];
        for share in &self.shares {
            if let Some(region) = region::find(&draft.regions, share.region.as_str()) {
                ppm[usize::from(region.0)] = share.ppm;
            }
        }
        Vector::partial(ppm).ok()
    }
}
