package org.cactuspulley.runtime.edge

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import java.io.IOException
import java.nio.file.Files
import java.nio.file.attribute.FileTime
import java.security.GeneralSecurityException

private val logger = KotlinLogging.logger {}

/** Holds the TLS context and replaces it when its files changed; a broken file leaves the old one in use. */
internal class ReloadingTlsContext(private val settings: TlsSettings) {
    private data class ModificationTimes(val certificateChain: FileTime, val privateKey: FileTime)

    private var loadedModificationTimes = modificationTimes()
    private var context: SslContext = load()

    /** The context for a new connection. */
    @Synchronized
    fun current(): SslContext {
        try {
            val times = modificationTimes()
            if (times != loadedModificationTimes) {
                context = load()
                loadedModificationTimes = times
            }
        } catch (failure: IOException) {
            logger.warn { "TLS files cannot be read, the loaded ones stay in use: ${failure.message}" }
        } catch (failure: GeneralSecurityException) {
            logger.warn { "TLS files are not usable, the loaded ones stay in use: ${failure.message}" }
        } catch (failure: IllegalArgumentException) {
            logger.warn { "TLS files are not usable, the loaded ones stay in use: ${failure.message}" }
        }
        return context
    }

    private fun modificationTimes() =
        ModificationTimes(Files.getLastModifiedTime(settings.certificateChain), Files.getLastModifiedTime(settings.privateKey))

    private fun load(): SslContext =
        SslContextBuilder.forServer(settings.certificateChain.toFile(), settings.privateKey.toFile()).build()
}
