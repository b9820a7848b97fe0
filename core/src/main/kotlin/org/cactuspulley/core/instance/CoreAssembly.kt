package org.cactuspulley.core.instance

import org.cactuspulley.core.configuration.ConfigurationPart
import org.cactuspulley.core.configuration.ConfigurationTiming
import org.cactuspulley.core.entry.EntryDirectory
import org.cactuspulley.core.entry.EntrySettings
import org.cactuspulley.core.journal.JournalPart
import org.cactuspulley.core.journal.JournalSettings
import org.cactuspulley.core.limits.LimitSettings
import org.cactuspulley.core.limits.SlotAdmissionControl
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.MembershipPart
import org.cactuspulley.core.membership.MembershipTiming
import org.cactuspulley.core.orders.OrderPart
import org.cactuspulley.core.orders.OrderSettings
import org.cactuspulley.core.quarantine.QuarantinePart
import org.cactuspulley.core.quarantine.QuarantineSettings
import org.cactuspulley.core.queueing.FairRequestQueue
import org.cactuspulley.core.queueing.QueueSettings
import org.cactuspulley.core.requests.RequestPart
import org.cactuspulley.core.requests.RequestSettings
import org.cactuspulley.core.routing.SelectionPolicy
import org.cactuspulley.core.routing.SelectionSettings
import org.cactuspulley.core.routing.targetSelection
import org.cactuspulley.core.targets.TargetMonitor
import org.cactuspulley.core.targets.TargetMonitorSettings
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** The settings of every part of one core. All instances of a deployment must use the same settings. */
public data class CoreSettings(
    val configuration: ConfigurationTiming = ConfigurationTiming(),
    val membership: MembershipTiming = MembershipTiming(),
    val limits: LimitSettings = LimitSettings(),
    val entry: EntrySettings = EntrySettings(answerLifetime = 5.seconds, leavePropagationTime = 3.seconds),
    val journal: JournalSettings = JournalSettings(),
    val quarantine: QuarantineSettings = QuarantineSettings(),
    val queue: QueueSettings = QueueSettings(),
    val requests: RequestSettings = RequestSettings(),
    val targets: TargetMonitorSettings = TargetMonitorSettings(),
    val orders: OrderSettings = OrderSettings(),
    val policy: SelectionPolicy = SelectionPolicy.PREFIX_AWARE,
    val selection: SelectionSettings = SelectionSettings(),
)

/**
 * Creates and connects all parts of one instance's core.
 *
 * @param self the instance for which the core makes decisions.
 * @param seeds the initially known instances, used while the platform's instance list can't be read.
 * @param random the random source that breaks ties between targets.
 */
public class CoreAssembly(
    self: Instance,
    settings: CoreSettings = CoreSettings(),
    seeds: List<Instance> = emptyList(),
    random: Random = Random(self.incarnation.number),
) {
    /** Maintains the configuration and authorizes requests. */
    public val configuration: ConfigurationPart = ConfigurationPart(self, settings.configuration)

    /** Tracks the other instances. */
    public val membership: MembershipPart = MembershipPart(self, seeds, settings.membership)

    /** Limits workspaces to their rate and burst. */
    public val admission: SlotAdmissionControl = SlotAdmissionControl(self.id, self.incarnation, settings.limits)

    /** Answers callers that ask which instances to use. */
    public val entry: EntryDirectory = EntryDirectory(self.id, settings.entry, admission)

    /** Queues requests that wait for a target. */
    public val queue: FairRequestQueue = FairRequestQueue(settings.queue)

    private val monitor = TargetMonitor(self.id, settings.targets)
    private val selection = targetSelection(settings.policy, monitor, random, settings.selection)
    private val orders = OrderPart(self.id, self.incarnation, monitor, settings.orders)
    private val journal = JournalPart(self.id, self.incarnation, settings.journal)
    private val quarantine = QuarantinePart(self.id, self.incarnation, settings.quarantine)

    /** Runs requests from their arrival to their end. */
    public val requests: RequestPart = RequestPart(
        authorization = configuration,
        admission = admission,
        queue = queue,
        selection = selection,
        journal = journal,
        quarantine = quarantine,
        settings = settings.requests.copy(serviceAfterStop = settings.entry.drainPeriod),
    )

    /** Passes events to all parts. */
    public val core: InstanceCore = InstanceCore(
        listOf(configuration, membership, monitor, selection, orders, admission, entry, journal, quarantine, requests),
    )
}
