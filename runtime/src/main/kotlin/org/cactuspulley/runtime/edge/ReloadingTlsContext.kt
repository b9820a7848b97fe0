package org.cactuspulley.runtime.edge

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import java.io.IOException
import java.nio.file.Files
import java.nio.file.attribute.FileTime
import java.security.GeneralSecurityException

private val logger = KotlinLogging.logger {}

/** Holds a TLS context and reloads it when its files change. If reloading fails, the loaded context stays in use. */
internal class ReloadingTlsContext(private val settings: TlsSettings) {
    private data class ModificationTimes(val certificateChain: FileTime, val privateKey: FileTime)

    private var loadedModificationTimes = modificationTimes()
    private var context: SslContext = load()

    /** Returns the context for a new connection and reloads it first if a file has changed. */
    @Synchronized
    fun current(): SslContext {
        try {
            val times = modificationTimes()
            if (times != loadedModificationTimes) {
                context = load()
                loadedModificationTimes = times
            }
        } catch (failure: IOException) {
            logger.warn { "failed to read the TLS files, keeping the loaded certificate: ${failure.message}" }
        } catch (failure: GeneralSecurityException) {
            logger.warn { "invalid TLS certificate or private key, keeping the loaded certificate: ${failure.message}" }
        } catch (failure: IllegalArgumentException) {
            logger.warn { "invalid TLS certificate or private key, keeping the loaded certificate: ${failure.message}" }
        }
        return context
    }

    private fun modificationTimes() =
        ModificationTimes(Files.getLastModifiedTime(settings.certificateChain), Files.getLastModifiedTime(settings.privateKey))

    private fun load(): SslContext =
        SslContextBuilder.forServer(settings.certificateChain.toFile(), settings.privateKey.toFile()).build()
}
