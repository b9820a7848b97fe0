package org.cactuspulley.runtime.edge

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.security.cert.X509Certificate
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLSocket
import javax.net.ssl.TrustManager
import javax.net.ssl.X509TrustManager

/** Accepts the self-signed certificates of the tests. */
private object TrustAllManager : X509TrustManager {
    override fun checkClientTrusted(chain: Array<X509Certificate>, type: String) = Unit

    override fun checkServerTrusted(chain: Array<X509Certificate>, type: String) = Unit

    override fun getAcceptedIssuers() = emptyArray<X509Certificate>()
}

private class TlsFiles(directory: Path) {
    val certificate: Path = directory.resolve("server.crt")
    val key: Path = directory.resolve("server.key")
    private var changes = 0L

    /** Writes the test certificate [name] and its key to the configured files. */
    fun install(name: String) {
        write(certificate, resource("$name.crt"))
        write(key, resource("$name.key"))
    }

    fun write(file: Path, text: String) {
        Files.writeString(file, text)
        Files.setLastModifiedTime(file, FileTime.fromMillis(++changes * 1_000))
    }

    private fun resource(name: String) = checkNotNull(javaClass.getResource("/tls/$name")).readText()
}

/** Returns the subject name of the certificate that [router] presents on a new connection, after one successful request. */
private fun servedSubjectName(router: TestRouter): String {
    val context = SSLContext.getInstance("TLS").apply { init(null, arrayOf<TrustManager>(TrustAllManager), null) }
    return (context.socketFactory.createSocket("127.0.0.1", router.port) as SSLSocket).use { socket ->
        socket.soTimeout = 20_000
        socket.outputStream.writeText("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        socket.inputStream.bufferedReader().readLine() shouldBe "HTTP/1.1 200 OK"
        (socket.session.peerCertificates.first() as X509Certificate).subjectX500Principal.name
    }
}

class CallerTlsSpec : DescribeSpec({
    describe("TLS for callers") {
        it("reloads changed certificate files without a restart and keeps the loaded certificate when the new files are invalid") {
            val files = TlsFiles(tempdir().toPath())
            files.install("first")
            val settings = CallerServerSettings("127.0.0.1", 0, tls = TlsSettings(files.certificate, files.key))
            TestRouter(emptyList(), settings).use { router ->
                servedSubjectName(router) shouldBe "CN=first"
                files.install("second")
                servedSubjectName(router) shouldBe "CN=second"
                files.write(files.certificate, "broken")
                servedSubjectName(router) shouldBe "CN=second"
            }
        }
    }
})
