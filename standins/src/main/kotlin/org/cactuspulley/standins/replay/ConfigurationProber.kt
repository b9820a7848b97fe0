package org.cactuspulley.standins.replay

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.record.PutModel
import org.cactuspulley.standins.checker.AcceptedChange
import org.cactuspulley.standins.checker.ConfigurationProbe
import org.cactuspulley.standins.deployment.DeploymentFixture
import org.cactuspulley.standins.deployment.keyOf
import org.cactuspulley.standins.server.standinJson
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.Collections

/**
 * Adds a marker model to the configuration every 4 s and, as a caller, asks every instance for its models every 250 ms.
 * The answers show how soon an instance applies a change and whether it reverts one.
 */
internal class ConfigurationProber(private val fixture: DeploymentFixture, private val incidentRunner: IncidentRunner) {
    private val httpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val recordedProbes = Collections.synchronizedList(ArrayList<ConfigurationProbe>())

    /** The probes that were answered so far. */
    val probes: List<ConfigurationProbe> get() = recordedProbes.toList()

    /** Starts to probe in [scope]; probing ends when the returned job is cancelled. */
    fun start(scope: CoroutineScope): Job = scope.launch(Dispatchers.IO) {
        launch { addMarkerModels() }
        while (true) {
            fixture.instances.indices.forEach { probe(it) }
            delay(PROBE_INTERVAL_MILLIS)
        }
    }

    private suspend fun addMarkerModels() {
        var markerNumber = 0
        while (true) {
            val model = Model(ModelName("marker-${markerNumber++}"), PoolName("markers"), WeightsVersion("v1"))
            withContext(Dispatchers.IO) {
                incidentRunner.applyChange({ PutModel(model) }, { AcceptedChange.MarkerModelAddition(it, model.name) })
            }
            delay(CHANGE_INTERVAL_MILLIS)
        }
    }

    private suspend fun probe(instanceIndex: Int) {
        val instance = fixture.instances[instanceIndex]
        if (instance.router == null) return
        val incarnation = instance.incarnation
        val start = System.nanoTime()
        val request = HttpRequest.newBuilder(URI("http://${instance.address}/v1/models"))
            .header("Authorization", "Bearer ${fixture.plan.keyOf(fixture.plan.workspaces.first().id)}")
            .timeout(REQUEST_TIMEOUT)
            .build()
        try {
            val response = httpClient.sendAsync(request, BodyHandlers.ofString()).await()
            if (response.statusCode() != 200) return
            val models = standinJson.decodeFromString(ModelsResponse.serializer(), response.body()).data.map { ModelName(it.id) }.toSet()
            recordedProbes.add(ConfigurationProbe(instanceIndex, incarnation, start, System.nanoTime(), models))
        } catch (_: IOException) {
            return
        } catch (_: SerializationException) {
            return
        }
    }

    @Serializable
    private data class ModelsResponse(val data: List<ListedModel>)

    @Serializable
    private data class ListedModel(val id: String)

    private companion object {
        const val PROBE_INTERVAL_MILLIS = 250L
        const val CHANGE_INTERVAL_MILLIS = 4_000L
        val REQUEST_TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
