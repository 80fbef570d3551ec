package io.otterknot.controller

import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits

/**
 * What it takes to read and change stored records. Its parts are the owners of their state: the rate limiter is that of
 * [client], and [limits] are lowered by whoever is refused for a record's size.
 */
class StoreAccess(val client: KeyValueStoreClient, val replica: StoreReplica, val limits: WriteLimits)
