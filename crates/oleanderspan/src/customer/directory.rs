//! The customers of one route document, by key and by name.

use crate::{
    customer::{Customer, EmptyKey, Key, Name, Quota, raw},
    prelude::*,
    region,
    route::Error,
};

/// The customers of a document. Each key belongs to one customer.
#[derive(Clone, Debug)]
pub struct Directory {
    by_key: Map<Key, Arc<Customer>>,
    by_name: Map<Name, Arc<Customer>>,
    is_partial: bool,
    faults: Box<[Error]>,
}

key! {
    /// Why a key identifies no customer.
    pub enum Miss {
        /// No customer of the document has it.
        Unknown,
        /// It may belong to a customer that this version could not read.
        Unreadable,
    }
}

impl Directory {
    /// Finds the customer that a key belongs to. It neither allocates nor takes a lock.
    pub fn find(&self, key: &[u8]) -> Result<&Arc<Customer>, Miss> {
        let miss = if self.is_partial { Miss::Unreadable } else { Miss::Unknown };
        self.by_key.get(key).ok_or(miss)
    }

    /// Finds a customer by its name.
    pub fn get(&self, name: &Name) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Finds a customer by a name in a message. It does not allocate.
    pub fn named(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// All customers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// Why customers have been left out, each with its place.
    pub fn faults(&self) -> &[Error] {
        &self.faults
    }

    /// The number of customers.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

impl TryFrom<raw::Directory> for Directory {
    type Error = Error;

    /// Leaves out customers whose name or home regions are invalid. Fails on the first contradiction
    /// between customers: a key of two of them could identify the wrong one.
    fn try_from(raw: raw::Directory) -> Result<Directory, Error> {
        find_contradiction(&raw.customers)?;
        let mut directory = Directory {
            by_key: Map::default(),
            by_name: Map::default(),
            is_partial: raw.is_partial,
            faults: Box::default(),
        };
        let mut faults = Vec::new();
        for customer in raw.customers {
            let checked = match checked(&customer) {
                Ok(checked) => Arc::new(checked),
                Err(fault) => {
                    directory.is_partial = true;
                    faults.push(fault);
                    continue;
                }
            };
            for (i, key) in customer.keys.iter().enumerate() {
                let key = Key::try_from(key.as_str())
                    .map_err(|error| Error::new(key_path(&customer, i), error))?;
                directory.by_key.insert(key, Arc::clone(&checked));
            }
            directory.by_name.insert(checked.name.clone(), checked);
        }
        directory.faults = faults.into();
        Ok(directory)
    }
}

/// Fails if two customers have the same name or key, or if a key is empty. Customers that are left
/// out count too: what is theirs must not identify another one.
fn find_contradiction(customers: &[raw::Customer]) -> Result<(), Error> {
    let mut names: Set<&str> = Set::default();
    let mut owners: Map<&str, &raw::Customer> = Map::default();
    for customer in customers {
        if !names.insert(&customer.name) {
            return Err(Error::new(format!("{}.name", customer.at), "duplicate customer name"));
        }
        for (i, key) in customer.keys.iter().enumerate() {
            if key.is_empty() {
                return Err(Error::new(key_path(customer, i), EmptyKey));
            }
            let other = owners.insert(key, customer).filter(|other| other.name != customer.name);
            if let Some(other) = other {
                let reason = format!("the key belongs to customer {:?} too", other.name);
                return Err(Error::new(key_path(customer, i), reason));
            }
        }
    }
    Ok(())
}

fn key_path(customer: &raw::Customer, i: usize) -> String {
    format!("{}.keys[{i}]", customer.at)
}

fn checked(raw: &raw::Customer) -> Result<Customer, Error> {
    let at = |field: &str| format!("{}.{field}", raw.at);
    let name = Name::try_from(raw.name.as_str()).map_err(|error| Error::new(at("name"), error))?;
    let homes = raw.homes.iter().map(|home| region::Name::try_from(home.as_str()));
    let homes: Result<Box<[region::Name]>, _> = homes.collect();
    let burst = u32::try_from(raw.burst).unwrap_or(u32::MAX);
    Ok(Customer {
        name,
        priority: raw.priority.map(|priority| u8::try_from(priority).unwrap_or(u8::MAX)),
        quota: (raw.per_1000_s > 0).then_some(Quota { per_1000_s: raw.per_1000_s, burst }),
        homes: homes.map_err(|error| Error::new(at("homes"), error))?,
    })
}
