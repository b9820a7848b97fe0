package org.cactuspulley.core.instance

import org.cactuspulley.core.configuration.ConfigurationPart
import org.cactuspulley.core.configuration.ConfigurationTiming
import org.cactuspulley.core.entry.EntryDirectory
import org.cactuspulley.core.entry.EntrySettings
import org.cactuspulley.core.journal.JournalPart
import org.cactuspulley.core.journal.JournalSettings
import org.cactuspulley.core.limits.LimitSettings
import org.cactuspulley.core.limits.SlotAdmission
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

/** The settings of every part of one core. All instances of a deployment must have the same ones. */
public data class CoreSettings(
    val configuration: ConfigurationTiming = ConfigurationTiming(),
    val membership: MembershipTiming = MembershipTiming(),
    val limits: LimitSettings = LimitSettings(),
    val entry: EntrySettings = EntrySettings(answerLifetime = 5.seconds, leavingNotice = 3.seconds),
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
 * Every part of one instance's core, connected with one another.
 *
 * @param self the instance that the core decides for.
 * @param seeds instances to begin with while the platform's list can't be read.
 * @param random breaks ties between targets.
 */
public class CoreAssembly(
    self: Instance,
    settings: CoreSettings = CoreSettings(),
    seeds: List<Instance> = emptyList(),
    random: Random = Random(self.incarnation.number),
) {
    /** Holds the configuration and authorizes requests. */
    public val configuration: ConfigurationPart = ConfigurationPart(self, settings.configuration)

    /** Knows the other instances. */
    public val membership: MembershipPart = MembershipPart(self, seeds, settings.membership)

    /** Keeps workspaces within their rate and burst. */
    public val admission: SlotAdmission = SlotAdmission(self.id, self.incarnation, settings.limits)

    /** Tells callers which instances to use. */
    public val entry: EntryDirectory = EntryDirectory(self.id, settings.entry, admission)

    /** Orders waiting requests. */
    public val queue: FairRequestQueue = FairRequestQueue(settings.queue)

    private val monitor = TargetMonitor(self.id, settings.targets)
    private val selection = targetSelection(settings.policy, monitor, random, settings.selection)
    private val orders = OrderPart(self.id, self.incarnation, monitor, settings.orders)
    private val journal = JournalPart(self.id, self.incarnation, settings.journal)
    private val quarantine = QuarantinePart(self.id, self.incarnation, settings.quarantine)

    /** Runs requests. */
    public val requests: RequestPart = RequestPart(
        authorization = configuration,
        admission = admission,
        queue = queue,
        selection = selection,
        journal = journal,
        quarantine = quarantine,
        settings = settings.requests.copy(entryAnswerLifetime = settings.entry.serviceAfterStop),
    )

    /** The façade over all parts. */
    public val core: InstanceCore = InstanceCore(
        listOf(configuration, membership, monitor, selection, orders, admission, entry, journal, quarantine, requests),
    )
}
