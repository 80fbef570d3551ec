package io.otterknot.controller

import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits

/**
 * The components needed to read and change stored records. Owns no state itself: the rate limiter belongs to [client],
 * and any component whose write is refused for its size lowers the shared [limits].
 */
class StoreAccess(val client: KeyValueStoreClient, val replica: StoreReplica, val limits: WriteLimits)
