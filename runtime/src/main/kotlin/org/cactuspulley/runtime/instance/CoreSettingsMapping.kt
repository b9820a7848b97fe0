package org.cactuspulley.runtime.instance

import org.cactuspulley.core.configuration.ConfigurationTiming
import org.cactuspulley.core.instance.CoreSettings
import org.cactuspulley.core.limits.LimitSettings
import org.cactuspulley.core.routing.SelectionPolicy
import org.cactuspulley.runtime.settings.RouterSettings
import org.cactuspulley.runtime.settings.RoutingPolicyName
import kotlin.time.Duration.Companion.milliseconds

/** The number of renewals within one bulk lease. */
private const val RENEWALS_PER_LEASE = 3

/** Returns the settings of the core that correspond to these settings. */
internal fun RouterSettings.toCoreSettings(): CoreSettings = CoreSettings(
    configuration = ConfigurationTiming(
        freshnessLimit = configuration.freshMillis.milliseconds,
        heartbeatInterval = configuration.heartbeatMillis.milliseconds,
        snapshotInterval = configuration.snapshotMillis.milliseconds,
    ),
    limits = LimitSettings(
        renewalInterval = leases.bulkMillis.milliseconds / RENEWALS_PER_LEASE,
        bulkLease = leases.bulkMillis.milliseconds,
        reserveLease = leases.reserveMillis.milliseconds,
        leaseMargin = leases.driftMillis.milliseconds,
    ),
    policy = when (routing.policyName) {
        RoutingPolicyName.PREFIX_AWARE -> SelectionPolicy.PREFIX_AWARE
        RoutingPolicyName.ROUND_ROBIN -> SelectionPolicy.ROUND_ROBIN
        RoutingPolicyName.LEAST_LOADED -> SelectionPolicy.LEAST_LOADED
        RoutingPolicyName.PREFIX_HASH -> SelectionPolicy.PREFIX_HASH
    },
)
